package record

import (
	"citronspread/model"
	"citronspread/yamlfile"
)

// Numeric priorities of the words High, Normal and Low in schema version 1.
const (
	priorityHigh   = 80
	priorityNormal = 50
	priorityLow    = 20
)

const megabyte = 1_000_000 // bytes

// readVersion1 reads a record of schema version 1, which has one model and its memory in megabytes.
func readVersion1(m *yamlfile.Mapping) model.Declaration {
	declared := model.ModelDeclaration{
		Key:      model.ModelKey{Model: m.Name("Model"), Version: m.Name("Version")},
		Bytes:    m.Int("MemoryMB", yamlfile.IntRange{Low: 1, High: maxMemory / megabyte}) * megabyte,
		Replicas: int(m.Int("Replicas", yamlfile.IntRange{High: maxReplicas})),
		Priority: priorityNumber(m.OneOf("Priority", "High", "Normal", "Low")),
		Adapters: m.NamesOr("Adapters"),
	}
	return model.Declaration{
		Record:  m.Name("Name"),
		Service: m.Name("Service"),
		Models:  []model.ModelDeclaration{declared},
	}
}

func priorityNumber(word string) int {
	switch word {
	case "High":
		return priorityHigh
	case "Low":
		return priorityLow
	}
	return priorityNormal
}
