package verifier

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// Guards against a folded line that is detected or not, depending on how the bytes arrive.
func TestFoldedLinesAreDetected(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	heads := map[string]struct {
		text string
		want bool
	}{
		"none":                     {status + "A: 1\r\nB: 2\r\n\r\n", false},
		"bare line feeds":          {"HTTP/1.1 200 OK\nA: 1\n\n", false},
		"space":                    {status + "A: 1\r\n b\r\n\r\n", true},
		"tab":                      {status + "A: 1\r\n\tb\r\n\r\n", true},
		"line of spaces":           {status + "A: 1\r\n \r\n\r\n", true},
		"after a bare line feed":   {"HTTP/1.1 200 OK\nA: 1\n b\n\n", true},
		"after the head":           {status + "A: 1\r\n\r\n b\r\n c", false},
		"after an empty line":      {status + "A: 1\n\n b", false},
		"after a mixed empty line": {status + "A: 1\n\r\n b", false},
		"spaces in a value":        {status + "A:  1 \r\nB: 2\r\n\r\n", false},
	}
	for name, tt := range heads {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				var scanner HeadScanner
				for i := 0; i < len(tt.text); i += size {
					scanner.Scan([]byte(tt.text[i:min(i+size, len(tt.text))]))
				}
				if scanner.Folded != tt.want {
					t.Errorf("in pieces of %d bytes: folded %t, want %t", size, scanner.Folded, tt.want)
				}
			}
		})
	}
}

// Guards against a head that ends elsewhere for the scanner than for the standard library.
func FuzzHeadsEndWhereTheStandardLibraryEndsThem(f *testing.F) {
	for _, fields := range []string{"A: 1\r\n b\r\n\r\n", "A: 1\n\t\r\n\nB", "A: 1\r\n\r\r\n b\n\n", "\n\n", "A: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		f.Add(fields)
	}
	f.Fuzz(func(t *testing.T, fields string) {
		text := "HTTP/1.1 200 OK\r\n" + fields
		reader := bufio.NewReaderSize(strings.NewReader(text), len(text)+16)
		if _, err := http.ReadResponse(reader, nil); err != nil {
			return
		}
		end := len(text) - reader.Buffered()
		for _, length := range []int{end - 1, end} {
			var scanner HeadScanner
			scanner.Scan([]byte(text[:length]))
			if ended := scanner.at == afterHead; ended != (length == end) {
				t.Errorf("after %d of %d bytes of %q: ended %t", length, end, text, ended)
			}
		}
	})
}
