package main

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/plain"
)

func init() {
	register("service", "Serve the plain service stand-in",
		"Serves a plain service that counts the effects of calls.", &serviceCommand{})
}

// serviceCommand serves the plain service simulator.
type serviceCommand struct {
	listenOptions
	Latency time.Duration `long:"latency" default:"3ms" description:"time until a call has its effect"`
}

// Execute implements flags.Commander.
func (command *serviceCommand) Execute([]string) error {
	service, err := plain.New(plain.Config{Seed: command.Seed, Latency: command.Latency})
	if err != nil {
		return err
	}
	defer service.Close()
	return command.serve("service", service)
}
