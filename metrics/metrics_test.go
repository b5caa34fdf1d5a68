package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLabelledGauge guards against values of earlier scrapes that stay, and against a scrape that fails because of one label.
func TestLabelledGauge(t *testing.T) {
	m := New()
	values := map[string]float64{"a": 3, "b": 4, "\xff": 5}
	m.AddLabelledGauge("test_counter", "Help.", "workspace", func() map[string]float64 { return values })
	scrape := func() string {
		response := httptest.NewRecorder()
		m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
		return response.Body.String()
	}
	got := scrape()
	for _, want := range []string{`test_counter{workspace="a"} 3`, `test_counter{workspace="b"} 4`} {
		if !strings.Contains(got, want) {
			t.Errorf("got no line %q", want)
		}
	}
	delete(values, "a")
	if strings.Contains(scrape(), `workspace="a"`) {
		t.Error("got a value that is gone, want none")
	}
}
