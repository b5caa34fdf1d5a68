package measure

import (
	"testing"

	"citronspread/model"
	"citronspread/record"
)

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
			t.Errorf("%s: got %d models and %d adapters", p.Name, len(merged), adapters)
		}
	}
}
