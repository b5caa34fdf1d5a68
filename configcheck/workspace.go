package configcheck

import (
	"fmt"

	"citronspread/model"
	"citronspread/platform"
	"citronspread/ratelimit"
	"citronspread/workspace"
)

func (c *checker) checkWorkspaces() {
	for i, w := range c.state.Workspaces {
		e := c.secrets.entry(workspacePath(i), w.Name)
		if len(w.Keys) == 0 {
			c.add(Warning, e, platform.WorkspaceField(workspace.FieldKeys), "no key, so no request belongs to it")
		}
		c.checkCap(e, w.Cap)
		c.checkWorkspacePriority(e, w.Priority)
	}
}

func workspacePath(position int) string {
	return fmt.Sprintf("%s[%d]", platform.FieldWorkspaces, position)
}

func (c *checker) checkCap(e Entry, usage model.UsageCap) {
	burst := platform.WorkspaceField(workspace.FieldBurst)
	plainTokens := platform.WorkspaceField(workspace.FieldPlainTokens)
	if usage.PerSecond == 0 {
		if usage.Burst > 0 {
			c.add(Warning, e, burst, fmt.Sprintf("has no effect, because a %s that is missing or 0 sets no limit", platform.WorkspaceField(workspace.FieldPerSecond)))
		}
		return
	}
	countsTokens := usage.Unit == model.CapTokens
	isPlainTooLarge := countsTokens && float64(usage.PlainTokens) > usage.Burst
	if isPlainTooLarge {
		c.add(Warning, e, plainTokens, fmt.Sprintf("larger than %s, so requests that state no tokens are served from a full bucket only", burst))
	}
	switch {
	case usage.Burst < 1:
		c.add(Warning, e, burst, "smaller than any request, so requests are served from a full bucket only")
	case countsTokens && !isPlainTooLarge && usage.Burst < ratelimit.LargeRequest:
		c.add(Note, e, burst, fmt.Sprintf("smaller than requests of up to %d tokens, which are served from a full bucket only", ratelimit.LargeRequest))
	}
}

// checkWorkspacePriority checks a priority that workspace.Check accepts.
func (c *checker) checkWorkspacePriority(e Entry, priority *int) {
	if priority == nil {
		return
	}
	field := platform.WorkspaceField(workspace.FieldPriority)
	if *priority > lowestPriority {
		c.add(Note, e, field, reasonLowPriority)
	}
	for _, r := range c.state.Routes {
		if r.Priority != *priority {
			return
		}
	}
	if len(c.state.Routes) > 0 {
		c.add(Note, e, field, "changes nothing, because all routes have the same")
	}
}
