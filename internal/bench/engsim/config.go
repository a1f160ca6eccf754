package engsim

import (
	"context"
	"fmt"
	"time"
)

// WeightStore provides the weights of adapters. Fetch returns when the weights
// have been read.
type WeightStore interface {
	Fetch(ctx context.Context, adapter string, version uint32) error
}

// Whether an engine checks fencing tokens.
const (
	FencingChecked = "checked"
	FencingIgnored = "ignored"
)

// How an engine treats an order to unload an adapter that requests are using.
const (
	UnloadRefuse  = "refuse"
	UnloadPerform = "perform"
)

// Config configures an Engine. DefaultConfig returns the defaults.
type Config struct {
	Seed uint64
	// WeightStore is the weight store; nil stands for one that takes 250 ms per
	// load.
	WeightStore WeightStore
	// AdapterSlots is the number of adapters that can be loaded at once.
	AdapterSlots int
	// BatchLimit is the largest number of running requests; further ones wait.
	BatchLimit int
	// QueueLimit is the largest number of waiting requests; further ones are
	// refused.
	QueueLimit int

	// A step takes StepBase, plus StepPerRequest for each request and
	// StepPerAdapter for each adapter in the batch.
	StepBase       time.Duration
	StepPerRequest time.Duration
	StepPerAdapter time.Duration
	// PromptTokenTime is added to a step for each prompt token that it prefills;
	// tokens in the prefix cache need no prefill. A step prefills at most
	// PrefillChunk tokens.
	PromptTokenTime time.Duration
	PrefillChunk    int64
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int

	// ReportLag is the age of the running and waiting counts in GET /v1/state.
	ReportLag time.Duration
	// CacheEventLag is the delay until a cache event is visible. CacheEventLoss
	// is the fraction of cache events that are lost, from 0 to 1.
	CacheEventLag  time.Duration
	CacheEventLoss float64

	// Fencing is FencingChecked or FencingIgnored.
	Fencing string
	// UnloadInUse is UnloadRefuse or UnloadPerform.
	UnloadInUse string
	// ResumeRetention is how long a request can be resumed after its connection
	// has closed; 0 disables resuming.
	ResumeRetention time.Duration
}

// DefaultConfig returns the configuration of a small engine.
func DefaultConfig() Config {
	return Config{
		Seed: 1, AdapterSlots: 8, BatchLimit: 32, QueueLimit: 1024,
		StepBase: 20 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, StepPerAdapter: 50 * time.Microsecond,
		PromptTokenTime: 50 * time.Microsecond, PrefillChunk: 512, CacheBlocks: 4096,
		ReportLag: 200 * time.Millisecond, CacheEventLag: 500 * time.Millisecond, CacheEventLoss: 0.02,
		Fencing: FencingChecked, UnloadInUse: UnloadRefuse, ResumeRetention: 30 * time.Second,
	}
}

// validate returns an error that names the first invalid value.
func (config Config) validate() error {
	switch {
	case config.AdapterSlots <= 0 || config.BatchLimit <= 0 || config.QueueLimit < 0:
		return fmt.Errorf("slots %d, batch limit %d, wait limit %d; write numbers above 0", config.AdapterSlots, config.BatchLimit, config.QueueLimit)
	case config.StepBase <= 0 || config.StepPerRequest < 0 || config.StepPerAdapter < 0 || config.PromptTokenTime < 0:
		return fmt.Errorf("step times %v, %v, %v, %v; write a base above 0 and others of at least 0", config.StepBase, config.StepPerRequest, config.StepPerAdapter, config.PromptTokenTime)
	case config.PrefillChunk <= 0 || config.CacheBlocks < 0:
		return fmt.Errorf("prompt chunk %d, cache blocks %d; write a chunk above 0 and a cache of at least 0", config.PrefillChunk, config.CacheBlocks)
	case config.ReportLag < 0 || config.CacheEventLag < 0 || config.ResumeRetention < 0:
		return fmt.Errorf("report lag %v, event lag %v, resume retention %v; write times of at least 0", config.ReportLag, config.CacheEventLag, config.ResumeRetention)
	case config.CacheEventLoss < 0 || config.CacheEventLoss > 1:
		return fmt.Errorf("event loss %v; write a part between 0 and 1", config.CacheEventLoss)
	case config.Fencing != FencingChecked && config.Fencing != FencingIgnored:
		return fmt.Errorf("fencing %q; write checked or ignored", config.Fencing)
	case config.UnloadInUse != UnloadRefuse && config.UnloadInUse != UnloadPerform:
		return fmt.Errorf("unload in use %q; write refuse or perform", config.UnloadInUse)
	}
	return nil
}
