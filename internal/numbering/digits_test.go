package numbering

import (
	"strings"
	"testing"
)

func TestParseDigits(t *testing.T) {
	for _, text := range []string{"0", "56221234567", strings.Repeat("9", maxDigits)} {
		if d, ok := ParseDigits(text); !ok || d.String() != text {
			t.Errorf("%q: %q, %v", text, d, ok)
		}
	}
	for _, text := range []string{"", "+56", "1 2", "12a", strings.Repeat("9", maxDigits+1)} {
		if d, ok := ParseDigits(text); ok || d != (Digits{}) {
			t.Errorf("%q: %q, %v", text, d, ok)
		}
	}
}

// After replacePrefix, Digits with the same digits compare equal: no removed digits remain in the unused bytes.
func TestReplacePrefix(t *testing.T) {
	for _, c := range []struct {
		removed      int
		prefix, want string
	}{
		{0, "", "12345"},
		{5, "", ""},
		{2, "99", "99345"},
		{0, strings.Repeat("9", maxDigits-1), strings.Repeat("9", maxDigits-1) + "1"},
		{5, strings.Repeat("9", maxDigits+1), strings.Repeat("9", maxDigits)},
	} {
		d, _ := ParseDigits("12345")
		d.replacePrefix(c.removed, c.prefix)
		want, _ := ParseDigits(c.want)
		if d != want {
			t.Errorf("first %d digits replaced by %q: %q, want %q", c.removed, c.prefix, d, c.want)
		}
	}
}

func TestDecisionPools(t *testing.T) {
	var d Decision
	for pool := range MaxPools + 3 {
		d.addPool(pool)
		d.addPool(pool)
	}
	if len(d.Pools()) != MaxPools {
		t.Errorf("%v", d.Pools())
	}
	for i, want := range d.Pools() {
		if pool, ok := d.Pool(i); !ok || pool != want {
			t.Errorf("pool %d: %d, %v", i, pool, ok)
		}
	}
	for _, i := range []int{-1, MaxPools} {
		if _, ok := d.Pool(i); ok {
			t.Errorf("Pool(%d) returned a pool", i)
		}
	}
}
