package standin

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
)

// BenchmarkStreams measures how many tokens per second one engine streams over HTTP to 100 concurrent clients.
func BenchmarkStreams(b *testing.B) {
	const streams, tokens = 100, 200
	e := &Engine{Backend: "backend-1", TokensPerSecond: 1000, SlowdownPerStream: 1e-9, BatchCapacity: streams}
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	inc := e.currentIncarnation()
	inc.residents[testKey] = &resident{key: testKey, ready: true}
	for b.Loop() {
		var running sync.WaitGroup
		for i := range streams {
			running.Go(func() {
				n := tokens
				complete(server.URL, fmt.Sprint(i), completionRequest{Model: testKey.String(), Prompt: "p", MaxTokens: &n})
			})
		}
		running.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}
