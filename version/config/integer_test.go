package config_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/finding"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Guards against a fraction that the decoder truncates where an integer is expected.
func TestFractionsOfIntegersAreReported(t *testing.T) {
	for owner, format := range map[any]string{
		reflect.TypeFor[config.Service](): "[services.s]\n%s = 2.5\n[services.s.classes.c]\n",
		reflect.TypeFor[config.Class]():   "[services.s]\n[services.s.classes.c]\n%s = 2.5\n",
	} {
		for _, field := range reflect.VisibleFields(owner.(reflect.Type)) {
			key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			if kind := field.Type.Kind(); key == "-" || key == "" || field.Type.PkgPath() != "" || kind != reflect.Int && kind != reflect.Int64 {
				continue
			}
			_, findings := config.Parse("x", fmt.Appendf(nil, format, key))
			if !slices.ContainsFunc(findings, func(f finding.Finding) bool { return strings.HasSuffix(f.Key, "."+key) }) {
				t.Errorf("%s = 2.5 of %v is not reported: %v", key, owner, findings)
			}
		}
	}
}
