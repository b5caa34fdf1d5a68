package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
)

// updateSources sends the ledger the model versions and replica numbers that the active records declare.
func (c *control) updateSources(now time.Time) {
	c.step(now, ledger.SourcesChanged{Models: c.modelSources(now), Records: c.recordGenerations()})
}

func (c *control) modelSources(now time.Time) []ledger.ModelSources {
	staying := c.members.Staying(now)
	var sources []ledger.ModelSources
	for _, m := range c.configuration.models {
		key := m.declaration.Key
		leader, _ := membership.Leader(staying, key.String())
		sources = append(sources, ledger.ModelSources{
			Key:      key,
			Sources:  c.sourcesOf(key),
			Bytes:    m.declaration.Bytes,
			Adapters: m.declaration.Adapters,
			Leader:   leader.Name == c.self.Name,
		})
	}
	return sources
}

func (c *control) sourcesOf(key model.ModelKey) []model.Source {
	var sources []model.Source
	for _, active := range c.configuration.records {
		for _, m := range active.Declaration.Models {
			if m.Key == key {
				sources = append(sources, model.Source{Record: active.Record.Name, Generation: active.Record.WriteOrder(), Replicas: m.Replicas})
			}
		}
	}
	return sources
}

func (c *control) recordGenerations() []ledger.RecordGeneration {
	var generations []ledger.RecordGeneration
	for _, active := range c.configuration.records {
		generations = append(generations, ledger.RecordGeneration{Record: active.Record.Name, Generation: active.Record.WriteOrder()})
	}
	return generations
}
