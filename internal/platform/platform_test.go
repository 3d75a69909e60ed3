package platform_test

import (
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Guards against a return from an older copy that no reader notices, at a log that tells its era and at one that doesn't.
func TestReturnedSince(t *testing.T) {
	for name, tc := range map[string]struct {
		page platform.Page
		want bool
	}{
		"same":                {platform.Page{Era: 1, End: 4}, false},
		"longer":              {platform.Page{Era: 1, End: 9}, false},
		"shorter":             {platform.Page{Era: 1, End: 3}, true},
		"era before":          {platform.Page{End: 9}, false},
		"era after":           {platform.Page{Era: 2, End: 3}, true},
		"era after, regrown":  {platform.Page{Era: 2, End: 9}, true},
		"no era told, shrunk": {platform.Page{End: 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.page.ReturnedSince(1, 4); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
