#!/bin/sh
# Checks that the models hold and that the checker refutes each broken variant. Prints the
# number of states of each search.
set -eu
cd "$(dirname "$0")"
command -v spin >/dev/null || { echo "check.sh: spin is not installed" >&2; exit 1; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify NAME MODEL EXPECTED PAN-FLAGS DEFINES... checks MODEL with the macros DEFINES and
# exits if the result is not EXPECTED, which is holds or refuted.
verify() {
	name=$1 model=$2 expected=$3 flags=$4
	shift 4
	cp "$model" "$work/model.pml"
	(cd "$work" && rm -f pan* model.pml.trail &&
		spin "$@" -a model.pml >spin.out 2>&1 &&
		gcc -O2 -DVECTORSZ=2048 -DCOLLAPSE -w -o pan pan.c &&
		./pan -m200000 $flags >pan.out 2>&1) || { cat "$work/spin.out" "$work/pan.out" 2>/dev/null; exit 1; }
	if grep -q 'max search depth too small\|out of memory\|aborted' "$work/pan.out"; then
		echo "check.sh: $name: the search was incomplete" >&2
		exit 1
	fi
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/pan.out")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out")
	if [ "$expected" = holds ] && [ "$errors" != 0 ]; then
		echo "check.sh: $name: a violation was found" >&2
		exit 1
	fi
	if [ "$expected" = refuted ] && [ "$errors" = 0 ]; then
		echo "check.sh: $name: no violation was found in a broken variant" >&2
		exit 1
	fi
	printf '%-28s %-8s states %s\n' "$name" "$expected" "$states"
}

verify 'claim, 2 hosts' claim.pml holds '-E'
verify 'claim, 3 hosts' claim.pml holds '-E' -DTHREE_HOSTS
for v in NO_NONCE START_BEFORE_CLAIM TAKEOVER READ_IS_PROOF DELETED_BUCKETS; do
	verify "claim $v" claim.pml refuted '-E' "-D$v"
done
verify 'home' home.pml holds '-a -N final'
for v in ANY_INCARNATION TAKEOVER FORGET_EARLY SILENCE_IS_PROOF; do
	verify "home $v" home.pml refuted '-a -N final' "-D$v"
done
verify 'owner' owner.pml holds '-E'
for v in LONG_ENTRY LONG_LEASE NO_PATIENCE NO_DEADLINE EXTEND_ORPHANS NO_FENCE STOP_IS_END LATE_ECHO EQUAL_FENCE; do
	verify "owner $v" owner.pml refuted '-E' "-D$v"
done
verify 'owner, server restarted' owner.pml holds '-E' -DSERVER_RESTART -DOWNER_NOTICES
verify 'owner RESTART_EARLY' owner.pml refuted '-E' -DSERVER_RESTART -DOWNER_NOTICES -DRESTART_EARLY
verify 'owner, incarnation checked' owner.pml holds '-E' -DSERVER_RESTART -DINCARNATION_CHECK
verify 'owner, by id alone' owner.pml refuted '-E' -DSERVER_RESTART
verify 'owner, retry at the owner' owner.pml holds '-E' -DSERVER_RESTART -DLATE_COMMANDS -DRETRY_AT_OWNER
verify 'owner EXPIRY_RESOLVES' owner.pml refuted '-E' -DSERVER_RESTART -DLATE_COMMANDS -DRETRY_AT_OWNER -DEXPIRY_RESOLVES
verify 'owner STOP_RESOLVES' owner.pml refuted '-E' -DSERVER_RESTART -DLATE_COMMANDS -DRETRY_AT_OWNER -DSTOP_RESOLVES
verify 'owner, late commands' owner.pml refuted '-E' -DSERVER_RESTART -DOWNER_NOTICES -DLATE_COMMANDS
tied='-DSERVER_RESTART -DLATE_COMMANDS -DEXPIRY_RESOLVES -DSTOP_RESOLVES -DTIED'
verify 'owner, starts tied' owner.pml holds '-E' $tied -DROOM_UNCHECKED
verify 'owner UNTOLD' owner.pml refuted '-E' $tied -DROOM_UNCHECKED -DUNTOLD
verify 'owner, room reserved' owner.pml holds '-E' $tied -DRESERVED
verify 'owner, room not reserved' owner.pml refuted '-E' $tied
