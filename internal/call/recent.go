package call

// recent remembers ids for a time, the same for all of them, and so many at the most:
// then the oldest are forgotten first. It guards memory against ever new ids.
type recent struct {
	ids   map[string]int // how many entries of queue name it
	queue []entry        // in the order they came, those before head being forgotten
	head  int
	most  int
}

type entry struct {
	id    string
	until Time
}

func newRecent(most int) *recent { return &recent{ids: make(map[string]int), most: most} }

func (r *recent) has(id string) bool { return r.ids[id] > 0 }

func (r *recent) add(id string, until Time) {
	if n := len(r.queue) - r.head; n > 0 && n >= r.most {
		r.drop()
	}
	r.ids[id]++
	r.queue = append(r.queue, entry{id, until})
}

func (r *recent) drop() {
	e := &r.queue[r.head]
	if r.ids[e.id]--; r.ids[e.id] == 0 {
		delete(r.ids, e.id)
	}
	*e = entry{}
	if r.head++; r.head > len(r.queue)/2 {
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		r.head = 0
	}
}

// sweep forgets what is due.
func (r *recent) sweep(now Time) {
	for r.head < len(r.queue) && r.queue[r.head].until < now {
		r.drop()
	}
}
