package yamlfile

import "testing"

func TestParseBytes(t *testing.T) {
	tests := []struct {
		text  string
		want  int64
		valid bool
	}{
		{"8GB", 8_000_000_000, true},
		{"8000000000B", 8_000_000_000, true},
		{"1.5 GiB", 1_610_612_736, true},
		{"64KiB", 65_536, true},
		{"0B", 0, true},
		{"8", 0, false},
		{"GB", 0, false},
		{"-1GB", 0, false},
		{"1e300GB", 0, false},
		{"NaNGB", 0, false},
		{"8gb", 0, false},
	}
	for _, tt := range tests {
		got, valid := parseBytes(tt.text)
		if got != tt.want || valid != tt.valid {
			t.Errorf("parseBytes(%q): got %d, %t, want %d, %t", tt.text, got, valid, tt.want, tt.valid)
		}
	}
}
