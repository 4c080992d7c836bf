//go:build !linux

package rgproof

import "syscall"

func childAttributes() *syscall.SysProcAttr { return nil }
