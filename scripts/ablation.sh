#!/usr/bin/env bash
# Measures what each mechanism that decides is worth: plays days of deployments on the
# users' bench with the code as it is, and with one mechanism switched off at a time.
#
#   BENCH=FILE scripts/ablation.sh OUT "SITE..." "DAY..." "SEED..." [NAME...]
#
# Each NAME is a patch scripts/ablation/NAME.patch, which is applied to a copy of HEAD; without
# names, all are. Reports and the copies' journals are kept below the folder OUT. Prints for
# each mechanism and site the mean worth, its standard deviation over days and seeds, and
# the mean difference to the code as it is over the same days and seeds, with its standard
# error, and how many days broke a rule. JOBS days are played at a time (3). Days whose report
# is in OUT already are not played again.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(realpath -m "$1") sites=$2 days=$3 seeds=$4
shift 4
patches=$PWD/scripts/ablation
names=("$@")
if [ ${#names[@]} = 0 ]; then
	for p in "$patches"/*.patch; do names+=("$(basename "$p" .patch)"); done
fi
mkdir -p "$out"

# play NAME: plays all days in a copy with the mechanism switched off.
play() {
	local copy=$out/copies/$1-$$
	rm -rf "$copy"
	git clone -q . "$copy"
	[ "$1" = none ] || git -C "$copy" apply "$patches/$1.patch"
	for site in $sites; do
		for day in $days; do
			for seed in $seeds; do echo "$site $day $seed"; done
		done
	done | (cd "$copy" && xargs -P "${JOBS:-3}" -L1 bash -c '
		report='"$out/$1"'-$(basename "$0" .toml)-$1-$2.json
		[ -s "$report" ] || "$BENCH" run "$0" "$1" --seed "$2" --jobs 1 --report "$report" --why "trial: ablation, without '"$1"'" >"${report%.json}.txt" 2>&1 || echo "failed: $report" >&2')
}

# summary NAME SITE: prints a line of the table.
summary() {
	for report in "$out/$1-$2"-*.json; do
		base=$out/none-${report#"$out/$1-"}
		[ -s "$report" ] && [ -s "$base" ] || continue
		awk -F'[:,]' '/^  "G"/ { g[FILENAME] = $2 } /^  "breaks": \{$/ { b[FILENAME] = 1 } END { print g[ARGV[1]] + 0, g[ARGV[2]] + 0, b[ARGV[1]] + 0 }' "$report" "$base"
	done | awk -v name="$1" -v site="$2" '
		{ n++; s += $1; q += $1 * $1; d = $1 - $2; t += d; u += d * d; broken += $3 }
		END {
			if (!n) exit
			sd = n > 1 ? sqrt((q - s * s / n) / (n - 1)) : 0
			se = n > 1 ? sqrt(((u - t * t / n) / (n - 1)) / n) : 0
			printf "| %s | %s | %d | %.4f | %.4f | %+.4f | %.4f | %d |\n", name, site, n, s / n, sd, t / n, se, broken
		}'
}

echo "| switched off | deployment | days | worth | deviation | difference | standard error | days that broke a rule |"
echo "|---|---|---|---|---|---|---|---|"
for name in none "${names[@]}"; do
	play "$name"
	for site in $sites; do summary "$name" "$(basename "$site" .toml)"; done
done
