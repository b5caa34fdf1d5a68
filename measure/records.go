package measure

import (
	"fmt"
	"strings"

	"citronspread/model"
)

const modelsPerRecord = 25

func modelKey(index int) model.ModelKey {
	return model.ModelKey{Model: fmt.Sprintf("model-%03d", index), Version: "v1"}
}

func adapterName(index int) string { return fmt.Sprintf("adapter-%03d", index) }

// records returns the bodies of the configuration records that declare the plan's models.
func records(p Plan) [][]byte {
	var all [][]byte
	for from := 0; from < p.Models.Count; from += modelsPerRecord {
		all = append(all, recordBody(p, from, min(from+modelsPerRecord, p.Models.Count)))
	}
	return all
}

func recordBody(p Plan, from, to int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "SchemaVersion: 2\nName: models-%03d\nService: %s\nModels:\n", from, p.Layout.EngineService)
	for i := from; i < to; i++ {
		key := modelKey(i)
		fmt.Fprintf(&b, "  - Model: %s\n    Version: %s\n    Memory: %dB\n    Priority: 50\n", key.Model, key.Version, p.Models.Bytes)
		fmt.Fprintf(&b, "    Replicas: {Decided: %d, Warm: %d}\n", p.Models.Replicas, p.Models.Warm)
		fmt.Fprintf(&b, "    Adapters: [%s]\n", strings.Join(adaptersOf(p, i), ", "))
	}
	return []byte(b.String())
}

// adaptersOf returns the names of a model's adapters. Adapters are assigned to the models in turn.
func adaptersOf(p Plan, model int) []string {
	var names []string
	for i := model; i < p.Models.Adapters; i += p.Models.Count {
		names = append(names, adapterName(i))
	}
	return names
}
