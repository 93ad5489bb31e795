# Runs a case of review/standins-2: `run_case FOLDER NAME`. Ends all processes of the case, whatever its
# result, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
run_case() {
    cd "$(dirname "$0")/../.." || exit 2
    driver=target/review-2/release/review-standins-2
    [ -x "$driver" ] && [ -x target/deploy/tansyknotd ] || { echo "not built"; exit 2; }
    CASE_TMP=$(mktemp -d) || exit 2
    export CASE_TMP
    trap end_case EXIT
    trap 'exit 2' INT TERM HUP
    timeout -k 5 110 "$driver" "$2" "$1/record.txt"
    result=$?
    [ "$result" -le 2 ] || result=2
    exit "$result"
}

# Ends the processes that the driver started, should it have left any, and removes the temporary folder.
end_case() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            case "$(cat "/proc/$pid/comm" 2>/dev/null)" in
                tansyknotd|review-standins) kill -9 "$pid" 2>/dev/null ;;
            esac
        done < "$CASE_TMP/pids"
    fi
    rm -rf "$CASE_TMP"
}
