package slope

import (
	"runtime"
	"syscall"
	"time"
)

// heapOf returns the bytes that a value built by the function keeps alive, and
// the value.
func heapOf[T any](build func() (T, error)) (float64, T, error) {
	before := heap()
	value, err := build()
	after := heap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before), value, err
}

// heap returns the live heap and the stacks in bytes.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// timePer returns the mean processor time of one of count calls in nanoseconds.
// Only the calling thread counts, so that other processes and the garbage
// collector's threads have no part in it.
func timePer(count int, call func(index int)) float64 {
	runtime.GC()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := usage(syscall.RUSAGE_THREAD)
	for index := range count {
		call(index)
	}
	return float64(usage(syscall.RUSAGE_THREAD)-started) / float64(count)
}

// processorPer returns the mean processor time of one of count calls in
// nanoseconds, over all threads of this process.
func processorPer(count int, call func(index int) error) (float64, error) {
	runtime.GC()
	started := usage(syscall.RUSAGE_SELF)
	for index := range count {
		if err := call(index); err != nil {
			return 0, err
		}
	}
	return float64(usage(syscall.RUSAGE_SELF)-started) / float64(count), nil
}

// usage returns the processor time in user and system mode.
func usage(who int) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(who, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
