package main

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
)

func init() {
	register("engine", "Serve the engine stand-in",
		"Serves an inference engine with continuous batching over few adapter slots.", &engineCommand{})
}

// engineCommand serves the engine simulator.
type engineCommand struct {
	listenOptions
	Platform        string        `long:"platform" value-name:"URL" description:"address of the platform, whose weight store is used; without it a load takes 250 ms"`
	Slots           int           `long:"slots" default:"8" description:"adapters that can be loaded"`
	BatchLimit      int           `long:"batch-limit" default:"32" description:"requests that run at once"`
	WaitLimit       int           `long:"wait-limit" default:"1024" description:"requests that wait before more are refused"`
	StepBase        time.Duration `long:"step-base" default:"20ms" description:"time of a step"`
	StepPerRequest  time.Duration `long:"step-per-request" default:"100us" description:"additional time for each request in a step"`
	StepPerAdapter  time.Duration `long:"step-per-adapter" default:"50us" description:"additional time for each distinct adapter in a step"`
	PromptTokenTime time.Duration `long:"prompt-token-time" default:"50us" description:"additional time for each prompt token that is not cached"`
	PromptChunk     int64         `long:"prompt-chunk" default:"512" description:"prompt tokens in one step"`
	CacheBlocks     int           `long:"cache-blocks" default:"4096" description:"size of the prefix cache in blocks of 16 tokens"`
	ReportLag       time.Duration `long:"report-lag" default:"200ms" description:"age of the reported load"`
	EventLag        time.Duration `long:"event-lag" default:"500ms" description:"delay of cache events"`
	EventLoss       float64       `long:"event-loss" default:"0.02" description:"part of the cache events that is lost"`
	Fencing         string        `long:"fencing" default:"checked" choice:"checked" choice:"ignored" description:"treatment of fencing tokens"`
	UnloadInUse     string        `long:"unload-in-use" default:"refuse" choice:"refuse" choice:"perform" description:"treatment of an order to unload an adapter in use"`
	ResumeRetention time.Duration `long:"resume-retention" default:"30s" description:"time for which a broken request can be resumed; 0 for never"`
}

// Execute implements flags.Commander.
func (command *engineCommand) Execute([]string) error {
	config := engsim.Config{
		Seed: command.Seed, AdapterSlots: command.Slots, BatchLimit: command.BatchLimit, QueueLimit: command.WaitLimit,
		StepBase: command.StepBase, StepPerRequest: command.StepPerRequest, StepPerAdapter: command.StepPerAdapter,
		PromptTokenTime: command.PromptTokenTime, PrefillChunk: command.PromptChunk, CacheBlocks: command.CacheBlocks,
		ReportLag: command.ReportLag, CacheEventLag: command.EventLag, CacheEventLoss: command.EventLoss,
		Fencing: command.Fencing, UnloadInUse: command.UnloadInUse, ResumeRetention: command.ResumeRetention,
	}
	if command.Platform != "" {
		config.WeightStore = engsim.HTTPWeightStore{URL: command.Platform}
	}
	engine, err := engsim.New(config)
	if err != nil {
		return err
	}
	defer engine.Close()
	return command.serve("engine", engine)
}
