package ledger

import (
	"slices"

	"citronspread/model"
)

// findKey returns the index of the reservation for a model version, or -1.
func findKey(r model.BackendRecord, key model.ModelKey) int {
	return slices.IndexFunc(r.Reservations, func(v model.Reservation) bool { return v.Key == key })
}

// findOrder returns the index of the reservation with an order ID, or -1.
func findOrder(r model.BackendRecord, id string) int {
	return slices.IndexFunc(r.Reservations, func(v model.Reservation) bool { return v.OrderID == id })
}

// holdsSlot reports whether the record has a reservation that uses the slot of a model version.
func holdsSlot(r model.BackendRecord, key model.ModelKey, slotID int) bool {
	return slices.ContainsFunc(r.Reservations, func(v model.Reservation) bool {
		return v.Key == key && v.SlotID == slotID
	})
}

// reservedBytes returns the total memory of all reservations.
func reservedBytes(r model.BackendRecord) int64 {
	var sum int64
	for _, v := range r.Reservations {
		sum += v.Bytes
	}
	return sum
}

// fits reports whether a reservation of the given size can be added without overcommitting memory.
func fits(r model.BackendRecord, bytes int64) bool {
	return reservedBytes(r)+bytes <= r.MemoryBytes
}

// cloneBackend returns a copy of a record whose reservations can be changed without affecting the original.
func cloneBackend(r model.BackendRecord) model.BackendRecord {
	r.Reservations = slices.Clone(r.Reservations)
	return r
}
