package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/chaos"
)

// proofCommand runs seeded failure schedules in virtual time and checks the
// invariants.
type proofCommand struct {
	Seeds uint64 `long:"seeds" default:"100" description:"number of schedules"`
	From  uint64 `long:"from" default:"1" description:"first seed"`
	Seed  uint64 `long:"seed" description:"run this seed only and print all that happened"`

	mutex       sync.Mutex
	totals      chaos.Totals
	failedSeeds []uint64
}

// Execute implements flags.Commander. Package synctest provides virtual time only
// to tests, so the command runs the schedules as tests. testing.Main then exits the
// process.
func (command *proofCommand) Execute([]string) error {
	if command.Seeds == 0 {
		return errors.New("--seeds is 0; write a number above 0")
	}
	if command.Seed > 0 {
		command.From, command.Seeds = command.Seed, 1
	}
	os.Args = os.Args[:1]
	match := func(string, string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{Name: "proof", F: command.runAllSeeds}}, nil, nil)
	return nil
}

// runAllSeeds runs all schedules in parallel, and prints the totals and the failed
// seeds.
func (command *proofCommand) runAllSeeds(t *testing.T) {
	start := time.Now()
	t.Run("seed", func(t *testing.T) {
		for seed := command.From; seed < command.From+command.Seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { command.runSeed(t, seed) })
			})
		}
	})
	fmt.Printf("%s in %s\n", command.totals.String(), time.Since(start).Round(time.Millisecond))
	for _, seed := range command.failedSeeds {
		fmt.Printf("failed: testbed proof --seed %d\n", seed)
	}
}

// runSeed runs one schedule. It prints the report if an invariant was violated or
// the command runs only this seed.
func (command *proofCommand) runSeed(t *testing.T, seed uint64) {
	report, err := chaos.Run(t.Context(), chaos.Generate(seed))
	if err != nil {
		t.Fatal(err)
	}
	command.mutex.Lock()
	defer command.mutex.Unlock()
	command.totals.Add(report)
	if len(report.Violations) > 0 {
		t.Fail()
		command.failedSeeds = append(command.failedSeeds, seed)
	}
	if command.Seed > 0 || len(report.Violations) > 0 {
		for _, line := range report.Lines(command.Seed > 0) {
			fmt.Println(line)
		}
	}
}

func init() {
	register("proof", "Check the invariants under failures",
		"Runs seeded schedules of two failures at a time in virtual time and checks the invariants. It prints the seed of each failing schedule.\n\nExample: testbed proof --seeds 1000 --from 1\nReplay: testbed proof --seed 17",
		&proofCommand{})
}
