package daemon

// How the memory limit of the platform is divided.

import (
	"bufio"
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxsail/config"
)

const (
	// minHeapLimit is the smallest limit in bytes that is set for the garbage collector. Below it
	// the program's own tables would keep the collector running all the time.
	minHeapLimit = 5 << 20
	// nativeReserve is what threads and the C library may take beside the Go runtime, in bytes.
	nativeReserve = 512 << 10
	// ownHeap is what the program's own tables take of the collector's limit, in bytes.
	ownHeap = 3 << 20
	// minClientMemory is the least that clients may make the process hold, in bytes: some requests
	// of the largest size.
	minClientMemory = 768 << 10
	// defaultProgramBytes are the pages of the program's file where the system does not tell them.
	defaultProgramBytes = 25 << 20
	// heapLimitInterval is how often the collector's limit follows the pages of the program's file
	// that are resident, and heapLimitStep the least change that is applied.
	heapLimitInterval = 250 * time.Millisecond
	heapLimitStep     = 512 << 10
)

// memoryShare returns what one process may use of the platform's limit, in bytes. Two processes that
// run beside each other have half each.
func memoryShare(limitMB int, siblingRunning bool) int64 {
	share := int64(limitMB) << 20
	if siblingRunning {
		share /= 2
	}
	return share
}

// heapLimit returns the limit for the garbage collector: what the resident pages of the program's file
// leave, without a reserve, and seven tenths of the share at most. A sixteenth is left for what
// is allocated while a collection runs.
func heapLimit(share, programBytes int64) int64 {
	available := share - programBytes - nativeReserve
	return max(minHeapLimit, min(available-available/16, share/10*7))
}

// clientMemory returns how much clients may make the process hold, in bytes: a third of what the
// program's own tables leave of the collector's limit, as collections need room for what is dropped.
// All pages of the program's file count as resident.
func clientMemory(limitMB int, siblingRunning bool) int64 {
	if limitMB <= 0 {
		return math.MaxInt64
	}
	return max(minClientMemory, (heapLimit(memoryShare(limitMB, siblingRunning), mappedFileBytes())-ownHeap)/3)
}

// mappedFileBytes returns the size of the files that are mapped into the process.
var mappedFileBytes = sync.OnceValue(func() int64 {
	data, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return defaultProgramBytes
	}
	total := int64(0)
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		total += mappedBytes(lines.Text())
	}
	return total
})

// mappedBytes returns the size of the mapping that a line of /proc/self/maps describes; 0 if it is not
// one of a file that may be read only.
func mappedBytes(line string) int64 {
	fields := strings.Fields(line)
	if len(fields) < 6 || !strings.HasPrefix(fields[5], "/") || strings.Contains(fields[1], "w") {
		return 0
	}
	from, to, _ := strings.Cut(fields[0], "-")
	start, startErr := strconv.ParseInt(from, 16, 64)
	end, endErr := strconv.ParseInt(to, 16, 64)
	if startErr != nil || endErr != nil {
		return 0
	}
	return end - start
}

// residentBytes returns the resident memory of the process and that part of it that are pages of
// files. Where the system does not tell, the first is 0 and the second all that are mapped.
func residentBytes() (all, files int64) {
	data, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return 0, mappedFileBytes()
	}
	allPages, allErr := strconv.ParseInt(fields[1], 10, 64)
	filePages, filesErr := strconv.ParseInt(fields[2], 10, 64)
	if allErr != nil || filesErr != nil {
		return 0, mappedFileBytes()
	}
	pageSize := int64(os.Getpagesize())
	return allPages * pageSize, filePages * pageSize
}

// HeapLimiter keeps the garbage collector's limit at what the platform's memory limit leaves. It
// changes the whole process, so only a program that runs nothing but the broker has one.
type HeapLimiter struct {
	mu    sync.Mutex
	share int64 // 0: no limit is set
	limit int64 // last one applied
	// programBytes are the pages of files that count as resident: all that are mapped until the
	// program has run for a while, as its start does not touch them all.
	programBytes int64
	stop         chan struct{}
	done         chan struct{}
}

// StartHeapLimiter starts to follow the resident pages of the program's file; Stop ends that.
func StartHeapLimiter(limits config.Limits) *HeapLimiter {
	h := &HeapLimiter{programBytes: mappedFileBytes(), stop: make(chan struct{}), done: make(chan struct{})}
	h.SetLimits(limits, false)
	go h.run()
	return h
}

// SetLimits changes the platform's limit; siblingRunning says that another process of this broker
// runs, which uses half of the memory. A memory limit of 0 leaves the one that is set unchanged.
func (h *HeapLimiter) SetLimits(limits config.Limits, siblingRunning bool) {
	if limits.MemoryMB <= 0 {
		return
	}
	h.mu.Lock()
	h.share = memoryShare(limits.MemoryMB, siblingRunning)
	h.limit = 0
	h.apply()
	h.mu.Unlock()
}

// run applies the limit again as the resident pages change.
func (h *HeapLimiter) run() {
	defer close(h.done)
	tick := time.NewTicker(heapLimitInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-tick.C:
			h.measure()
		}
	}
}

// measure notes the resident pages and applies the limit that follows. Where the process is near its
// share, after the limit was lowered say, memory that is free goes back to the system at once.
func (h *HeapLimiter) measure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.share == 0 {
		return
	}
	all, files := residentBytes()
	h.programBytes = files
	h.apply()
	if all > h.share-h.share/16 {
		debug.FreeOSMemory()
	}
}

// apply sets the collector's limit if it has changed by heapLimitStep at least; h.mu is held.
func (h *HeapLimiter) apply() {
	limit := heapLimit(h.share, h.programBytes)
	if change := limit - h.limit; change < heapLimitStep && change > -heapLimitStep {
		return
	}
	h.limit = limit
	debug.SetMemoryLimit(limit)
}

// Stop ends the goroutine of StartHeapLimiter. The last limit stays.
func (h *HeapLimiter) Stop() {
	close(h.stop)
	<-h.done
}
