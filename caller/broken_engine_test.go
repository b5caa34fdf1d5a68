package caller

import (
	"fmt"
	"strings"
	"testing"

	"citronspread/rawserver"
)

// TestBrokenEngineResponses guards against a broken response of an engine that a caller gets as a completion, as a part of one
// that looks complete, or as the refusal of its request.
func TestBrokenEngineResponses(t *testing.T) {
	stream := func(id string) string {
		var b strings.Builder
		for i := range 20 {
			b.WriteString(chunkText(id, i))
		}
		return b.String() + fmt.Sprintf("data: {\"id\":%q,\"token_index\":20,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	}
	const rejection = `{"error":{"code":"context_length_exceeded","message":"too long"}}`
	newForms := func(id string) []rawserver.Broken {
		forms := rawserver.BrokenResponses("200 OK", "Content-Type: text/event-stream\r\n", stream(id))
		forms = append(forms, rawserver.SilentResponses("200 OK", "Content-Type: text/event-stream\r\n", stream(id))...)
		forms = append(forms, rawserver.BrokenResponses("400 Bad Request", "", rejection)...)
		return append(forms, rawserver.BrokenResponses("404 Not Found", "", `{"error":{"code":"model_not_loaded","message":"no"}}`)...)
	}
	for i, form := range newForms("") {
		t.Run(fmt.Sprintf("%d %s", i, form.Name), func(t *testing.T) {
			t.Parallel()
			for _, options := range []string{"", `,"stream":true`, `,"stream":true,"seed":1`} {
				env, received := newBreakingEnv(t, func(id string) rawserver.Broken { return newForms(id)[i] })
				got := env.post(t, pathChat, fmt.Sprintf(chatBody, options))
				text, complete := got.text()
				if !strings.HasPrefix(fullText(20), text) || complete && text != fullText(20) {
					t.Errorf("options %s: got %q, complete %v, want the text or a part that looks incomplete", options, text, complete)
				}
				if canRepeat := options != `,"stream":true` || text == ""; !complete && canRepeat {
					t.Errorf("options %s: got status %d, %q, want a complete response", options, got.status, got.body)
				}
				if got := received.Load(); got > 2 {
					t.Errorf("options %s: got %d sends, want at most 2", options, got)
				}
			}
		})
	}
}
