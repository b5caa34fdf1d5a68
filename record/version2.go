package record

import (
	"fmt"

	"citronspread/model"
	"citronspread/yamlfile"
)

// readVersion2 reads a record of schema version 2, which has a list of models and sizes with units.
func readVersion2(m *yamlfile.Mapping) model.Declaration {
	d := model.Declaration{Record: m.Name("Name"), Service: m.Name("Service")}
	seen := make(map[model.ModelKey]bool)
	models := m.Mappings("Models")
	if len(models) > maxModels {
		m.AddProblem("Models", fmt.Sprintf("at most %d models", maxModels))
		return d
	}
	if m.Has("Models") && len(models) == 0 {
		m.AddProblem("Models", "at least one model")
	}
	for _, entry := range models {
		declared := readModel(entry)
		if seen[declared.Key] {
			entry.AddProblem("Model", fmt.Sprintf("each model version once, but %s appears twice", declared.Key))
		}
		seen[declared.Key] = true
		d.Models = append(d.Models, declared)
	}
	return d
}

func readModel(m *yamlfile.Mapping) model.ModelDeclaration {
	declared := model.ModelDeclaration{
		Key:      model.ModelKey{Model: m.Name("Model"), Version: m.Name("Version")},
		Bytes:    m.Bytes("Memory", yamlfile.IntRange{Low: 1, High: maxMemory}),
		Priority: int(m.Int("Priority", yamlfile.IntRange{High: maxPriority})),
		Adapters: m.NamesOr("Adapters"),
	}
	replicas := m.Mapping("Replicas")
	declared.Replicas = int(replicas.Int("Decided", yamlfile.IntRange{High: maxReplicas}))
	declared.Warm = int(replicas.IntOr("Warm", 0, yamlfile.IntRange{High: maxReplicas}))
	replicas.ReportUnknownKeys()
	m.ReportUnknownKeys()
	if declared.Warm > declared.Replicas {
		replicas.AddProblem("Warm", "at most Decided")
	}
	return declared
}
