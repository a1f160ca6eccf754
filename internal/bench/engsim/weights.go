package engsim

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// localLoadTime is the duration of a load without a weight store.
const localLoadTime = 250 * time.Millisecond

// localWeights is a store that is never busy.
type localWeights struct{}

// Fetch implements Weights.
func (localWeights) Fetch(ctx context.Context, _ string, _ uint32) error {
	timer := time.NewTimer(localLoadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HTTPWeightStore fetches from a weight store over HTTP.
type HTTPWeightStore struct {
	// URL is the address of the platform, without a trailing slash.
	URL string
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
}

// Fetch implements Weights.
func (weights HTTPWeightStore) Fetch(ctx context.Context, adapter string, version uint32) error {
	path := fmt.Sprintf("%s/v1/weights/%s/%d", weights.URL, url.PathEscape(adapter), version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	client := weights.HTTP
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
