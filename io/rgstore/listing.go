package rgstore

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// decodeListing decodes a listing item by item, so that one that is malformed does not take the others out of use. encoding/json
// refuses a reply that is nested too deeply as a whole, so the items are found by their tokens, which have no such limit.
func decodeListing(raw []byte) (Listing, error) {
	var lis Listing
	if json.Unmarshal(raw, &lis) == nil && !hasMalformed(lis) {
		return lis, nil
	}
	lis = Listing{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return Listing{}, errors.NotValidf("listing")
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return Listing{}, errors.NewNotValid(err, "listing")
		}
		if key == "items" {
			err = decodeItems(dec, raw, &lis)
		} else {
			err = decodeMember(dec, raw, key, &lis)
		}
		if err != nil {
			return Listing{}, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return Listing{}, errors.NewNotValid(err, "listing")
	}
	return lis, nil
}

func decodeMember(dec *json.Decoder, raw []byte, key json.Token, lis *Listing) error {
	val, err := nextValue(dec, raw)
	if err != nil || key != "version" {
		return err
	}
	return errors.Annotate(json.Unmarshal(val, &lis.Version), "version of the listing")
}

func decodeItems(dec *json.Decoder, raw []byte, lis *Listing) error {
	tok, err := dec.Token()
	switch {
	case err != nil:
		return errors.NewNotValid(err, "listing")
	case tok == nil:
		return nil
	case tok != json.Delim('['):
		return errors.NotValidf("items of the listing")
	}
	for dec.More() {
		val, err := nextValue(dec, raw)
		if err != nil {
			return err
		}
		var itm Item
		err = json.Unmarshal(val, &itm)
		if err == nil && itm.Key == "" {
			err = errors.NotValidf("item without a key")
		}
		if err != nil {
			lis.Malformed = append(lis.Malformed, describeMalformed(val, err))
			continue
		}
		lis.Items = append(lis.Items, itm)
	}
	_, err = dec.Token()
	return err
}

// nextValue returns the bytes of the next value, however deeply it is nested.
func nextValue(dec *json.Decoder, raw []byte) ([]byte, error) {
	began := dec.InputOffset()
	for depth := 0; ; {
		tok, err := dec.Token()
		if err != nil {
			return nil, errors.NewNotValid(err, "listing")
		}
		switch tok {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(raw[began:dec.InputOffset()], " \t\r\n,:"), nil
		}
	}
}

// describeMalformed returns the key and the version of a malformed item as far as they come before what makes it malformed.
func describeMalformed(raw []byte, err error) MalformedItem {
	mal := MalformedItem{Err: err}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return mal
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return mal
		}
		val, err := nextValue(dec, raw)
		if err != nil {
			return mal
		}
		switch key {
		case "key":
			// A key of another type stays empty.
			_ = json.Unmarshal(val, &mal.Key)
		case "version":
			_ = json.Unmarshal(val, &mal.Version)
		}
	}
	return mal
}

func hasMalformed(lis Listing) bool {
	for _, itm := range lis.Items {
		if itm.Key == "" {
			return true
		}
	}
	return false
}
