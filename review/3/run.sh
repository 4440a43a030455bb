#!/bin/sh
# With TROUBLE=0 the same without the disruption.
exec sh "$(dirname "$0")/../run-case.sh" pipeline-drain "$(cd "$(dirname "$0")" && pwd)"
