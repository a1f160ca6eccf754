package engsim

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// fixedLoadTime is the duration of a load without a weight store.
const fixedLoadTime = 250 * time.Millisecond

// fixedTimeStore is a WeightStore whose fetches take a fixed time, however many
// run at once.
type fixedTimeStore struct{}

// Fetch implements WeightStore.
func (fixedTimeStore) Fetch(ctx context.Context, _ string, _ uint32) error {
	timer := time.NewTimer(fixedLoadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HTTPWeightStore fetches weights from the platform's weight store over HTTP.
type HTTPWeightStore struct {
	// URL is the base URL of the platform, without a trailing slash.
	URL string
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
}

// Fetch implements WeightStore.
func (store HTTPWeightStore) Fetch(ctx context.Context, adapter string, version uint32) error {
	path := fmt.Sprintf("%s/v1/weights/%s/%d", store.URL, url.PathEscape(adapter), version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	client := store.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %d", response.StatusCode)
	}
	return nil
}
