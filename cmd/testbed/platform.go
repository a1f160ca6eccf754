package main

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

func init() {
	register("platform", "Serve the platform stand-in",
		"Serves a log service, a weight store and an instance list.", &platformCommand{})
}

// platformCommand serves the platform simulator.
type platformCommand struct {
	listenOptions
	Retention        time.Duration `long:"retention" default:"168h" description:"age at which log records expire"`
	AppendRate       float64       `long:"append-rate" default:"300" description:"appends per second over all streams"`
	LoadRate         float64       `long:"load-rate" default:"3" description:"adapter loads started per second"`
	LoadBurst        int           `long:"load-burst" default:"8" description:"adapter loads started at once"`
	LoadTime         time.Duration `long:"load-time" default:"250ms" description:"duration of a load at full speed"`
	LoadsAtFullSpeed int           `long:"loads-at-full-speed" default:"8" description:"loads in flight beyond which each takes longer"`
	ListLag          time.Duration `long:"list-lag" default:"500ms" description:"least time until a change of the instance list is seen"`
	ListLagSpread    time.Duration `long:"list-lag-spread" default:"0s" description:"range of the additional time of each change"`
}

// Execute implements flags.Commander.
func (command *platformCommand) Execute([]string) error {
	platform, err := infra.New(infra.Config{
		Seed: command.Seed, Retention: command.Retention, AppendRate: command.AppendRate,
		LoadRate: command.LoadRate, LoadBurst: command.LoadBurst, LoadTime: command.LoadTime,
		LoadsAtFullSpeed: command.LoadsAtFullSpeed, ListLag: command.ListLag, ListLagJitter: command.ListLagSpread,
	})
	if err != nil {
		return err
	}
	return command.serve("platform", platform)
}
