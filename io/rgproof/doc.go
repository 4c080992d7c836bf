// Package rgproof holds tests that run the processes of the system, make them fail and judge the recorded history.
package rgproof
