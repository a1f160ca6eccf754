package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
)

// overheadCommand measures the time that an entry instance and a side process add
// to a call.
type overheadCommand struct {
	Rate float64       `long:"rate" default:"500" description:"calls per second"`
	For  time.Duration `long:"for" default:"10s" description:"length of each of the two measurements"`
	Seed uint64        `long:"seed" default:"1" description:"seed of the stand-ins"`
}

// Execute implements flags.Commander.
func (command *overheadCommand) Execute([]string) error {
	overhead, err := demo.MeasureOverhead(context.Background(), demo.OverheadConfig{
		Rate: command.Rate, Duration: command.For, Seed: command.Seed,
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(overhead)
}

func init() {
	register("overhead", "Measure the time that entry and side process add",
		"Compares calls of the plain service through one entry instance with direct calls at the same rate, and prints JSON.\n\nExample: testbed overhead --rate 500 --for 10s",
		&overheadCommand{})
}
