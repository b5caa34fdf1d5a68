package gateway

import "slices"

// sequenced retains the latest maxSuspects items and numbers them in the order of their arrival.
type sequenced[T any] struct {
	items    []T
	sequence int64 // of the last item
}

func (s *sequenced[T]) add(item T) {
	s.items = append(s.items, item)
	s.sequence++
	if len(s.items) > maxSuspects {
		s.items = slices.Delete(s.items, 0, len(s.items)-maxSuspects)
	}
}

// after returns the items after a sequence number, which another process of this host may have given, and the number of
// the last one.
func (s *sequenced[T]) after(sequence int64) (items []T, last int64) {
	count := s.sequence - sequence
	if count < 0 || count > int64(len(s.items)) {
		count = int64(len(s.items))
	}
	return slices.Clone(s.items[len(s.items)-int(count):]), s.sequence
}
