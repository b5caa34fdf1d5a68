package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"citronspread/model"
	"citronspread/platform"
	"citronspread/workspace"
)

// Change is what happened to an entry.
type Change string

const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that differs between two desired states. It contains no key.
type Difference struct {
	Change  Change
	Entry   Entry // its path is that of the later desired state, unless the entry was removed
	Details []string
}

// String returns the difference as one line.
func (d Difference) String() string {
	line := fmt.Sprintf("%s: %v", d.Change, d.Entry)
	if len(d.Details) > 0 {
		line += ": " + strings.Join(d.Details, ", ")
	}
	return line
}

// comparison collects the differences between two desired states.
type comparison struct {
	secrets     secrets
	differences []Difference
}

func compare(before, after model.DesiredState, s secrets) []Difference {
	c := &comparison{secrets: s}
	if before.Version != after.Version {
		c.add(Changed, Entry{Path: platform.FieldVersion}, fmt.Sprintf("%d -> %d", before.Version, after.Version))
	}
	c.compareRoutes(before.Routes, after.Routes)
	c.compareServices(before.Services, after.Services)
	c.compareWorkspaces(before.Workspaces, after.Workspaces)
	c.change(Entry{Path: platform.FieldLimits}, limitDetails(before.Limits, after.Limits))
	return c.differences
}

func (c *comparison) add(change Change, entry Entry, details ...string) {
	c.differences = append(c.differences, Difference{Change: change, Entry: entry, Details: details})
}

// change adds a difference if there are any details.
func (c *comparison) change(entry Entry, details details) {
	if len(details) > 0 {
		c.add(Changed, entry, details...)
	}
}

// details are the changed fields of an entry. Texts are not shown.
type details []string

func (d *details) number(field string, before, after float64) {
	if before != after {
		*d = append(*d, fmt.Sprintf("%s %s -> %s", field, formatNumber(before), formatNumber(after)))
	}
}

func (d *details) milliseconds(field string, before, after time.Duration) {
	d.number(field, float64(before)/float64(time.Millisecond), float64(after)/float64(time.Millisecond))
}

func (d *details) seconds(field string, before, after time.Duration) {
	d.number(field, before.Seconds(), after.Seconds())
}

func (d *details) flag(field string, before, after bool) {
	if before != after {
		*d = append(*d, fmt.Sprintf("%s %t -> %t", field, before, after))
	}
}

// text adds a field of which the values are not shown.
func (d *details) text(field string, differs bool) {
	if differs {
		*d = append(*d, field)
	}
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// routeID identifies a route in two desired states. Names may occur several times.
type routeID struct {
	name  string
	count int // earlier routes of the same name
}

func positionsOf(routes []model.Route) (positions map[routeID]int, ids []routeID) {
	positions, ids = make(map[routeID]int, len(routes)), make([]routeID, len(routes))
	seen := make(map[string]int)
	for i, r := range routes {
		ids[i] = routeID{r.Name, seen[r.Name]}
		positions[ids[i]] = i
		seen[r.Name]++
	}
	return positions, ids
}

func (c *comparison) compareRoutes(before, after []model.Route) {
	earlier, earlierIDs := positionsOf(before)
	later, laterIDs := positionsOf(after)
	for i, id := range earlierIDs {
		if _, kept := later[id]; !kept {
			c.add(Removed, c.secrets.entry(routePath(i), id.name))
		}
	}
	for i, id := range laterIDs {
		entry := c.secrets.entry(routePath(i), id.name)
		if j, known := earlier[id]; known {
			c.change(entry, routeDetails(before[j], after[i]))
		} else {
			c.add(Added, entry)
		}
	}
}

func routeDetails(before, after model.Route) (d details) {
	d.text(platform.FieldHostname, before.Host != after.Host)
	d.text(platform.FieldPrefix, before.Prefix != after.Prefix)
	d.text(platform.FieldKind, before.Kind != after.Kind)
	d.milliseconds(platform.FieldTimeout, before.Timeout, after.Timeout)
	d.milliseconds(platform.FieldLatencyTarget, before.LatencyTarget, after.LatencyTarget)
	d.milliseconds(platform.FieldGapTarget, before.GapTarget, after.GapTarget)
	d.number(platform.FieldPriority, float64(before.Priority), float64(after.Priority))
	d.text(platform.FieldService+" or "+platform.FieldTrafficSplit, !slices.Equal(before.Shares, after.Shares))
	d.number(platform.FieldMaxAttempts, float64(before.MaxAttempts), float64(after.MaxAttempts))
	d.flag(platform.FieldAnonymous, before.Anonymous, after.Anonymous)
	d.flag(platform.FieldResumable, before.Resumable, after.Resumable)
	return d
}

func (c *comparison) compareServices(before, after map[string]model.ServiceSpec) {
	for _, name := range namesOf(before, after) {
		entry := c.secrets.entry(platform.FieldServices, name)
		earlier, known := before[name]
		later, kept := after[name]
		switch {
		case !known:
			c.add(Added, entry)
		case !kept:
			c.add(Removed, entry)
		case earlier.Engine != nil && later.Engine != nil:
			c.change(entry, engineDetails(*earlier.Engine, *later.Engine))
		case earlier.Engine != later.Engine:
			c.add(Changed, entry, platform.FieldEngine)
		}
		c.compareModels(entry, modelsOf(earlier), modelsOf(later))
	}
}

func modelsOf(s model.ServiceSpec) map[string]model.ModelSpec {
	if s.Engine == nil {
		return nil
	}
	return s.Engine.Models
}

func engineDetails(before, after model.EngineSpec) (d details) {
	d.number(platform.FieldSlots, float64(before.Slots), float64(after.Slots))
	d.number(platform.FieldKVCapacity, float64(before.CacheTokens), float64(after.CacheTokens))
	d.number(platform.FieldWeightSize, before.WeightMB, after.WeightMB)
	d.number(platform.FieldAdapterSlots, float64(before.AdapterSlots), float64(after.AdapterSlots))
	d.number(platform.FieldLoadsPerS, before.LoadsPerSecond, after.LoadsPerSecond)
	return d
}

func (c *comparison) compareModels(service Entry, before, after map[string]model.ModelSpec) {
	for _, name := range namesOf(before, after) {
		entry := c.secrets.model(service, name)
		earlier, known := before[name]
		later, kept := after[name]
		switch {
		case !known:
			c.add(Added, entry)
		case !kept:
			c.add(Removed, entry)
		default:
			c.change(entry, modelDetails(earlier, later))
		}
	}
}

func modelDetails(before, after model.ModelSpec) (d details) {
	d.number(platform.FieldWeightSize, before.MB, after.MB)
	d.number(platform.FieldAdapterMB, before.AdapterMB, after.AdapterMB)
	d.seconds(platform.FieldLoadTime, before.ColdLoad, after.ColdLoad)
	d.seconds(platform.FieldDiskLoad, before.DiskLoad, after.DiskLoad)
	d.seconds(platform.FieldWarm, before.MemoryLoad, after.MemoryLoad)
	return d
}

// namesOf returns the sorted names of both maps.
func namesOf[V any](a, b map[string]V) []string {
	names := slices.Sorted(maps.Keys(a))
	names = slices.AppendSeq(names, maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *comparison) compareWorkspaces(before, after []model.Workspace) {
	earlier, kept := make(map[string]model.Workspace, len(before)), make(map[string]bool, len(after))
	for _, w := range before {
		earlier[w.Name] = w
	}
	for _, w := range after {
		kept[w.Name] = true
	}
	for i, w := range before {
		if !kept[w.Name] {
			c.add(Removed, c.secrets.entry(workspacePath(i), w.Name), keyDetails(w.Keys, nil)...)
		}
	}
	for i, w := range after {
		entry := c.secrets.entry(workspacePath(i), w.Name)
		if b, known := earlier[w.Name]; known {
			c.change(entry, workspaceDetails(b, w))
		} else {
			c.add(Added, entry, keyDetails(nil, w.Keys)...)
		}
	}
}

// keyDetails returns how many keys were added and removed.
func keyDetails(before, after []string) (d details) {
	if added := missing(after, before); added > 0 {
		d = append(d, fmt.Sprintf("keys added: %d", added))
	}
	if removed := missing(before, after); removed > 0 {
		d = append(d, fmt.Sprintf("keys removed: %d", removed))
	}
	return d
}

// missing returns how many of the keys are not among the others.
func missing(keys, others []string) (count int) {
	among := make(map[string]bool, len(others))
	for _, key := range others {
		among[key] = true
	}
	for _, key := range keys {
		if !among[key] {
			count++
		}
	}
	return count
}

func workspaceDetails(before, after model.Workspace) details {
	d := keyDetails(before.Keys, after.Keys)
	if b, a := priorityText(before), priorityText(after); b != a {
		d = append(d, fmt.Sprintf("%s %s -> %s", platform.WorkspaceField(workspace.FieldPriority), b, a))
	}
	d.text(platform.WorkspaceField(workspace.FieldUnit), before.Cap.Unit != after.Cap.Unit)
	d.number(platform.WorkspaceField(workspace.FieldPlainTokens), float64(before.Cap.PlainTokens), float64(after.Cap.PlainTokens))
	d.number(platform.WorkspaceField(workspace.FieldPerSecond), before.Cap.PerSecond, after.Cap.PerSecond)
	d.number(platform.WorkspaceField(workspace.FieldBurst), before.Cap.Burst, after.Cap.Burst)
	return d
}

func priorityText(w model.Workspace) string {
	if w.Priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*w.Priority)
}

func limitDetails(before, after model.ConnectionLimits) (d details) {
	d.number(platform.FieldMaxHeaderBytes, float64(before.HeaderBytes), float64(after.HeaderBytes))
	d.number(platform.FieldMaxBodyBytes, float64(before.BodyBytes), float64(after.BodyBytes))
	d.milliseconds(platform.FieldHeaderTimeout, before.HeaderTimeout, after.HeaderTimeout)
	d.milliseconds(platform.FieldIdleTimeout, before.IdleTimeout, after.IdleTimeout)
	return d
}
