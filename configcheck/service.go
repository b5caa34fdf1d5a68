package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"citronspread/model"
	"citronspread/platform"
)

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.state.Routes {
		for _, share := range r.Shares {
			used[share.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.state.Services)) {
		e := c.secrets.entry(platform.FieldServices, name)
		if !used[name] {
			c.add(Note, e, "", "no route leads to it")
		}
		if engine := c.state.Services[name].Engine; engine != nil {
			c.checkModels(e, engine)
		}
	}
}

func (c *checker) checkModels(service Entry, engine *model.EngineSpec) {
	for _, name := range slices.Sorted(maps.Keys(engine.Models)) {
		m, e := engine.Models[name], c.secrets.model(service, name)
		if m.MB > engine.WeightMB {
			c.add(Warning, e, platform.FieldWeightSize, fmt.Sprintf("larger than that of its %s, so it can't be loaded", platform.FieldEngine))
		}
		if m.AdapterMB > 0 && engine.AdapterSlots < 1 {
			c.add(Warning, e, platform.FieldAdapterMB, fmt.Sprintf("its adapters can't be loaded, because %s is below 1", platform.FieldAdapterSlots))
		}
	}
}

// model returns the entry of a model of a service.
func (s secrets) model(service Entry, name string) Entry {
	return s.entry(fmt.Sprintf("%v: %s", service, platform.FieldModels), name)
}
