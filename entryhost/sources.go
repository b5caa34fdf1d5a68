package entryhost

import (
	"time"

	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
)

// applySources tells the ledger what the records in force decide.
func (c *control) applySources(now time.Time) {
	c.step(now, ledger.SourcesChanged{Models: c.modelSources(now), Records: c.recordGenerations()})
}

func (c *control) modelSources(now time.Time) []ledger.ModelSources {
	staying := c.members.Staying(now)
	var sources []ledger.ModelSources
	for _, m := range c.configuration.models {
		key := m.declaration.Key
		lead, _ := membership.Lead(staying, key.String())
		sources = append(sources, ledger.ModelSources{
			Key:      key,
			Sources:  c.sourcesOf(key),
			Bytes:    m.declaration.Bytes,
			Adapters: m.declaration.Adapters,
			Lead:     lead.Name == c.self.Name,
		})
	}
	return sources
}

func (c *control) sourcesOf(key model.ModelKey) []model.Source {
	var sources []model.Source
	for _, held := range c.configuration.records {
		for _, m := range held.Declaration.Models {
			if m.Key == key {
				sources = append(sources, model.Source{Record: held.Record.Name, Generation: held.Record.Order(), Replicas: m.Replicas})
			}
		}
	}
	return sources
}

func (c *control) recordGenerations() []ledger.RecordGeneration {
	var generations []ledger.RecordGeneration
	for _, held := range c.configuration.records {
		generations = append(generations, ledger.RecordGeneration{Record: held.Record.Name, Generation: held.Record.Order()})
	}
	return generations
}
