package gateway

import "testing"

// Guards against bodies that take more memory than their part, and against a few long ones that leave none.
func TestBodiesTakeTheirPartOfTheMemory(t *testing.T) {
	const memory, long = 400 << 20, 4 << 20
	cases := map[string]struct {
		memory, body int64
		want         int
	}{
		"long bodies leave a part to small ones": {memory, long, 17},
		"small ones take all":                    {memory, smallBody, 1280},
		"little memory":                          {1 << 20, long, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBodies(c.memory)
			n := 0
			for b.reserve(c.body) {
				n++
			}
			if n != c.want {
				t.Errorf("%d bodies, want %d", n, c.want)
			}
			if c.body > smallBody && !b.reserve(smallBody) {
				t.Error("no room for a small body")
			}
			b.release(c.body)
			if !b.reserve(c.body) {
				t.Error("no room after the end of a call")
			}
		})
	}
	unbounded := newBodies(0)
	for range 1000 {
		if !unbounded.reserve(long) {
			t.Fatal("a bound without a bound of the memory")
		}
	}
}
