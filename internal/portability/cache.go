package portability

import (
	"container/list"
	"time"

	"olivedale/internal/numbering"
)

// answerCache stores answers by number. The count and the total size of the entries are limited; the oldest entries
// are evicted first.
type answerCache struct {
	entries    map[string]*list.Element // of *cacheEntry
	order      *list.List               // by time of addition, the oldest first
	maxEntries int
	maxBytes   int
	size       int // total size of the entries in bytes, approximate
}

type cacheEntry struct {
	number    string
	ported    numbering.PortingResult
	expiresAt Time
}

// entryOverhead is the approximate size in bytes of an entry without its number.
const entryOverhead = 200

func (e *cacheEntry) size() int { return entryOverhead + len(e.number) }

func newAnswerCache(maxEntries, maxBytes int) answerCache {
	return answerCache{
		entries:    make(map[string]*list.Element),
		order:      list.New(),
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
	}
}

// cachedAnswer is the result of answerCache.get. The zero value means that there is no entry.
type cachedAnswer struct {
	ported  numbering.PortingResult
	exists  bool
	isFresh bool // within its TTL
}

// get returns the answer for a number. An expired answer is returned for another staleTTL; after that the entry is
// removed.
func (c *answerCache) get(now Time, number string, staleTTL time.Duration) cachedAnswer {
	element := c.entries[number]
	if element == nil {
		return cachedAnswer{}
	}
	entry := element.Value.(*cacheEntry)
	if now >= entry.expiresAt+staleTTL {
		c.remove(element)
		return cachedAnswer{}
	}
	return cachedAnswer{ported: entry.ported, exists: true, isFresh: now < entry.expiresAt}
}

// put adds an answer, which replaces an older one for the same number, and evicts the oldest entries while a limit is
// exceeded.
func (c *answerCache) put(number string, ported numbering.PortingResult, expiresAt Time) {
	if element := c.entries[number]; element != nil {
		c.remove(element)
	}
	entry := &cacheEntry{number, ported, expiresAt}
	c.entries[number] = c.order.PushBack(entry)
	c.size += entry.size()
	for len(c.entries) > c.maxEntries || c.size > c.maxBytes {
		c.remove(c.order.Front())
	}
}

func (c *answerCache) remove(element *list.Element) {
	entry := c.order.Remove(element).(*cacheEntry)
	delete(c.entries, entry.number)
	c.size -= entry.size()
}
