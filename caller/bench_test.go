package caller

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

const benchTokens = 400

// BenchmarkTokens measures streaming through one server, BenchmarkTokensDirect streaming directly from the same fake engine.
func BenchmarkTokens(b *testing.B)       { benchmarkTokens(b, true) }
func BenchmarkTokensDirect(b *testing.B) { benchmarkTokens(b, false) }

func benchmarkTokens(b *testing.B, viaServer bool) {
	f := &fakeEngine{}
	env := newTestEnv(b, f)
	url := env.url
	if !viaServer {
		url = "http://" + env.snapshot.Load().Models[0].Replicas[0].Address
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var sequence, tokens atomic.Int64
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			body := fmt.Sprintf(`{"model":"faults","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, benchTokens, sequence.Add(1))
			response, err := client.Post(url+pathChat, "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			scanner := bufio.NewScanner(response.Body)
			for scanner.Scan() {
				if strings.HasPrefix(scanner.Text(), "data: {") {
					tokens.Add(1)
				}
			}
			response.Body.Close()
		}
	})
	b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
}
