// Command mulberryrelay is the daemon of an entry host on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap/zapcore"

	"github.com/mulberrystream/mulberrystream/internal/startsignals"
	"github.com/mulberrystream/mulberrystream/pkg/ingress"
	"github.com/mulberrystream/mulberrystream/platform"
)

type settings struct {
	LogLevel string `arg:"--log-level,env:MULBERRYSTREAM_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	// RoleOrders is a string rather than a boolean flag so that it can default to on.
	RoleOrders string `arg:"--role-orders,env:MULBERRYSTREAM_ROLE_ORDERS" default:"on" help:"on: change engines between prefill and decode when decode memory is short; off: leave them"`
	ingress.Settings
}

// Description is the first paragraph of the help text.
func (settings) Description() string {
	return "mulberryrelay runs an entry host on the users' platform. The platform's settings file is named by " +
		platform.SettingsVariable + "."
}

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "mulberryrelay:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("setting --log-level is %q: want debug, info, warn or error", s.LogLevel)
	}
	if s.RoleOrders != "on" && s.RoleOrders != "off" {
		return fmt.Errorf("setting --role-orders is %q: want on or off", s.RoleOrders)
	}
	if err := s.Settings.Validate(); err != nil {
		return err
	}
	return platform.Run(platform.Options{
		LogLevel: level, RoleOrders: s.RoleOrders == "on", Ingress: &s.Settings, StartReload: startsignals.Reload,
	})
}
