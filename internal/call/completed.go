package call

// expiringIDs remembers ids for a time, the same for all of them, and so many at the most:
// then the oldest are forgotten first. It guards memory against ever new ids.
type expiringIDs struct {
	ids        map[string]int // how many entries of queue name it
	queue      []expiringID   // in the order they came, those before head being forgotten
	head       int
	maxEntries int
}

type expiringID struct {
	id    string
	until Time
}

func newExpiringIDs(most int) *expiringIDs {
	return &expiringIDs{ids: make(map[string]int), maxEntries: most}
}

func (r *expiringIDs) has(id string) bool { return r.ids[id] > 0 }

func (r *expiringIDs) add(id string, until Time) {
	if n := len(r.queue) - r.head; n > 0 && n >= r.maxEntries {
		r.drop()
	}
	r.ids[id]++
	r.queue = append(r.queue, expiringID{id, until})
}

func (r *expiringIDs) drop() {
	e := &r.queue[r.head]
	if r.ids[e.id]--; r.ids[e.id] == 0 {
		delete(r.ids, e.id)
	}
	*e = expiringID{}
	if r.head++; r.head > len(r.queue)/2 {
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		r.head = 0
	}
}

// sweep forgets what is due.
func (r *expiringIDs) sweep(now Time) {
	for r.head < len(r.queue) && r.queue[r.head].until < now {
		r.drop()
	}
}
