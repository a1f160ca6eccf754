package slope

import (
	"runtime"
	"syscall"
	"time"
)

// retainedHeap calls build and returns the bytes that the built value keeps
// alive, and the value.
func retainedHeap[T any](build func() (T, error)) (float64, T, error) {
	before := liveHeap()
	value, err := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before), value, err
}

// liveHeap collects garbage and returns the size of the live heap and the stacks
// in bytes.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// threadTimePerCall runs count calls and returns their mean processor time in
// nanoseconds. It counts only the calling thread, which excludes the garbage
// collector's threads and other processes.
func threadTimePerCall(count int, call func(index int)) float64 {
	runtime.GC()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := cpuTime(syscall.RUSAGE_THREAD)
	for index := range count {
		call(index)
	}
	return float64(cpuTime(syscall.RUSAGE_THREAD)-before) / float64(count)
}

// processTimePerCall runs count calls and returns their mean processor time in
// nanoseconds, over all threads of this process.
func processTimePerCall(count int, call func(index int) error) (float64, error) {
	runtime.GC()
	before := cpuTime(syscall.RUSAGE_SELF)
	for index := range count {
		if err := call(index); err != nil {
			return 0, err
		}
	}
	return float64(cpuTime(syscall.RUSAGE_SELF)-before) / float64(count), nil
}

// cpuTime returns the processor time used so far in user and system mode. who is
// syscall.RUSAGE_SELF or syscall.RUSAGE_THREAD.
func cpuTime(who int) time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(who, &rusage); err != nil {
		return 0
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
