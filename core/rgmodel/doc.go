// Package rgmodel holds the plain structs that all other packages share.
package rgmodel
