package claimer

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkCommit measures one group commit without the object API: decoding the shard unless
// it is cached, applying 16 claims and 16 completions, and encoding.
func BenchmarkCommit(b *testing.B) {
	for _, records := range []int{100, 900} {
		for _, remembered := range []bool{true, false} {
			for _, answer := range []int{0, 300} {
				b.Run(fmt.Sprintf("records-%d/remembered-%v/answer-%d", records, remembered, answer), func(b *testing.B) {
					benchmarkCommit(b, records, answer, remembered)
				})
			}
		}
	}
}

func benchmarkCommit(b *testing.B, records, answer int, remembered bool) {
	random := rand.New(rand.NewPCG(1, 1))
	ops := func(kind OpKind, n int) []Op {
		list := make([]Op, n)
		for i := range list {
			list[i] = opFor(kind, "01kdxxxxxxxxxxxxxxxxxxxxxx")
			list[i].Answer = Answer{Form: AnswerInline, Status: 200, ContentType: "application/json", Body: make([]byte, answer)}
			for j := range list[i].Key {
				list[i].Key[j] = byte(random.Int())
			}
		}
		return list
	}
	s, _, _ := (&Shard{}).Apply(baseTime, emptyLookup, ops(OpComplete, records))
	value, err := encode(s)
	if err != nil {
		b.Fatal(err)
	}
	group := append(ops(OpClaim, 16), ops(OpComplete, 16)...)
	b.ReportAllocs()
	for b.Loop() {
		read := s
		if !remembered {
			read = &Shard{}
			if err := decode(value, read); err != nil {
				b.Fatal(err)
			}
		}
		next, results, _ := read.Apply(baseTime, emptyLookup, group)
		if results[0].Verdict != VerdictGranted {
			b.Fatal("not granted")
		}
		if _, err := encode(next); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value))/float64(records), "bytes/record")
}
