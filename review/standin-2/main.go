//go:build review

// Command review-2 holds the stand-ins and the scripts of the second review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 runner FLAGS | SCRIPT RECORD")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "runner":
		runRunner(os.Args[2:])
	case "lost-machine":
		runLostMachine(newBed(os.Args[2]), trouble)
	case "late-order":
		runLateOrder(newBed(os.Args[2]), trouble)
	case "leaving":
		runLeaving(newBed(os.Args[2]), trouble)
	case "cut-receipt":
		runCutReceipt(newBed(os.Args[2]), trouble)
	default:
		fmt.Fprintln(os.Stderr, "no such script:", os.Args[1])
		os.Exit(exitNotRun)
	}
}
