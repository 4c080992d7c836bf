package rgmodel

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"unicode"

	"github.com/juju/errors"
)

const (
	// maxNameBytes is the size limit of the names in the description of a process. Those of DNS have the same one.
	maxNameBytes = 253
	// maxShownBytes limits what an error contains of a value, because other writers choose it.
	maxShownBytes = 64
)

// CheckAddress returns errors.NotValid unless other processes can dial the address: an IP address or a host name with a port from 1
// to 65535. An unspecified address would reach the machine of the process that dials it. Other spellings of the same address are
// rejected, because processes are told apart by their addresses.
func CheckAddress(adr string) error {
	host, port, err := net.SplitHostPort(adr)
	if err != nil {
		return errors.NotValidf("address %s", shown(adr))
	}
	if num, err := strconv.ParseUint(port, 10, 16); err != nil || num == 0 || strconv.FormatUint(num, 10) != port {
		return errors.NotValidf("address %s with port %s", shown(adr), shown(port))
	}
	if !isHost(host) || net.JoinHostPort(host, port) != adr {
		return errors.NotValidf("address %s with host %s", shown(adr), shown(host))
	}
	return nil
}

// CheckEntry returns errors.NotValid unless the entry has a name and an address that other processes can dial.
func CheckEntry(ent Entry) error {
	switch {
	case !isName(ent.Name):
		return errors.NotValidf("entry with name %s", shown(ent.Name))
	case len(ent.Incarnation) > maxNameBytes:
		return errors.NotValidf("entry with incarnation %s", shown(ent.Incarnation))
	case len(ent.AvailabilityZone) > maxNameBytes:
		return errors.NotValidf("entry with availability zone %s", shown(ent.AvailabilityZone))
	default:
		return errors.Annotate(CheckAddress(ent.Address), "entry")
	}
}

// ValidEntries returns the valid entries, and the error of the first one that is not valid.
func ValidEntries(ents []Entry) ([]Entry, error) {
	var first error
	val := make([]Entry, 0, len(ents))
	for _, ent := range ents {
		err := CheckEntry(ent)
		if err == nil {
			val = append(val, ent)
		} else if first == nil {
			first = err
		}
	}
	return val, first
}

func isHost(host string) bool {
	if ip, err := netip.ParseAddr(host); err == nil {
		return !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.String() == host
	}
	if host == "" || len(host) > maxNameBytes {
		return false
	}
	labels := strings.Split(host, ".")
	for _, lab := range labels {
		if lab == "" || strings.ContainsFunc(lab, func(chr rune) bool { return !isHostRune(chr) }) {
			return false
		}
	}
	// A name that ends in a number is an IP address in another spelling.
	_, err := strconv.ParseUint(labels[len(labels)-1], 0, 64)
	return err != nil
}

func isHostRune(chr rune) bool {
	return chr == '-' || chr == '_' || '0' <= chr && chr <= '9' || 'a' <= chr && chr <= 'z'
}

// CheckZone returns errors.NotValid unless the name is one that the settings accept for an availability zone.
func CheckZone(nam string) error {
	if !isName(nam) {
		return errors.NotValidf("availability zone %s", shown(nam))
	}
	return nil
}

// isName accepts what the settings accept as the name of a process.
func isName(nam string) bool {
	return nam != "" && len(nam) <= maxNameBytes && !strings.ContainsFunc(nam, func(chr rune) bool {
		return chr == '/' || chr == unicode.ReplacementChar || unicode.IsSpace(chr) || !unicode.IsPrint(chr)
	})
}

func shown(txt string) string {
	if len(txt) > maxShownBytes {
		txt = txt[:maxShownBytes] + "..."
	}
	return strconv.Quote(txt)
}
