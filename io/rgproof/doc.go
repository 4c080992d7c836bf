// Package rgproof holds tests that run the processes of the system, inject faults and check the recorded history against
// the invariants.
package rgproof
