// Package hangup makes a program that imports it ignore SIGHUP from before the Go runtime
// starts. Without it the runtime lets the signal end the process until main runs, as the
// packages are initialised: relays were lost to SIGHUP up to 40 ms after their start.
//
// The signal is delivered once signal.Notify asks for it. Without cgo the package does
// nothing. The time until the program's constructors run, under a millisecond, remains; a
// program that starts with SIGHUP ignored keeps ignoring it from the first moment.
package hangup
