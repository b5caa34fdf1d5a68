package measure

import (
	"testing"

	"citronspread/model"
	"citronspread/record"
)

// TestRecordsDeclareAllModels guards against models or adapters that are lost when a plan's models are split into records.
func TestRecordsDeclareAllModels(t *testing.T) {
	for _, p := range loadPlans(t) {
		var all []model.Declaration
		for _, body := range records(p) {
			d, err := record.Parse(body)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, d)
		}
		merged := record.Merge(all)
		adapters := 0
		for _, m := range merged {
			adapters += len(m.Adapters)
		}
		if len(merged) != p.Models.Count || adapters != p.Models.Adapters {
			t.Errorf("%s: got %d models and %d adapters, want %d and %d", p.Name, len(merged), adapters, p.Models.Count, p.Models.Adapters)
		}
	}
}
