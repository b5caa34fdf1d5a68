package store

import "context"

type progressKey struct{}

// WithProgress returns a context for a read whose response may take long to arrive. report is called for each part of it.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// Progress returns the function of WithProgress, or one that does nothing.
func Progress(ctx context.Context) func() {
	if report, found := ctx.Value(progressKey{}).(func()); found {
		return report
	}
	return func() {}
}
