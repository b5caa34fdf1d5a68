package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronspread/standin"
)

const shortTimeout = 200 * time.Millisecond

// TestOutcomes checks the outcome that a caller records for each way in which a response can end.
func TestOutcomes(t *testing.T) {
	a := Arrival{Adapter: -1, Tokens: 2}
	tokens := standin.ExpectedTokens(modelKey(0).String(), prompt(a), a.Tokens)
	chunk := func(text, reason string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", text, reason)
	}
	complete := chunk(tokens[0], "") + chunk(tokens[1], "length") + "data: [DONE]\n\n"
	tests := []struct {
		name   string
		status int
		run    string
		body   string
		delay  time.Duration
		want   outcome
	}{
		{"complete", 200, "", complete, 0, outcomeComplete},
		{"late", 200, "", complete, shortTimeout + 100*time.Millisecond, outcomeLate},
		{"other text", 200, "", strings.Replace(complete, tokens[1], "other", 1), 0, outcomeWrong},
		{"truncated", 200, "", chunk(tokens[0], ""), 0, outcomeIncomplete},
		{"[DONE] without finish reason", 200, "", chunk(tokens[0], "") + "data: [DONE]\n\n", 0, outcomeIncomplete},
		{"error event", 200, "", chunk(tokens[0], "") + "data: {\"error\":{\"code\":\"answer_not_whole\"}}\n\n", 0, outcomeFailed},
		{"refused", 503, notRun, `{"error":{"code":"deadline_exceeded"}}`, 0, outcomeRefused},
		{"may have run", 502, "maybe-run", "", 0, outcomeFailed},
		{"no answer", 200, "", complete, shortTimeout + 2*timeoutSlack, outcomeSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(tt.delay)
				w.Header().Set(runHeader, tt.run)
				w.WriteHeader(tt.status)
				fmt.Fprint(w, tt.body)
			}))
			defer server.Close()
			classes := []Class{{Name: "short", Timeout: shortTimeout, Stream: true}}
			c := newCaller(classes, []string{strings.TrimPrefix(server.URL, "http://")})
			got := c.call(context.Background(), a, time.Now(), false)
			if got.Outcome != tt.want {
				t.Errorf("got %s (%s), want %s", got.Outcome, got.Reason, tt.want)
			}
		})
	}
}
