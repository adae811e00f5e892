#include "cases.hh"

#include <cstdio>
#include <filesystem>

namespace
{

using namespace stage;

int run_worker(char** given)
{
    worker_options it;
    record_path() = given[2];
    it.at = parse_address(given[3]);
    it.store_at = parse_address(given[4]);
    it.id = given[5];
    it.service = given[6];
    it.version = given[7];
    it.slots = std::atoi(given[8]);
    std::istringstream models(given[9]);
    std::string model;
    while (std::getline(models, model, ','))
    {
        if (model != "-")
        {
            it.models.insert(model);
        }
    }
    it.adapter_slots = std::atoi(given[10]);
    it.events = std::atoi(given[11]);
    it.event_gap_ms = std::atoi(given[12]);
    it.is_unframed = std::string(given[13]) == "1";
    it.plain_ms = std::atoi(given[14]);
    it.has_ids = std::string(given[15]) == "1";
    worker(it).run();
}

/// Usage: stage CASE ROOT RECORD. Returns 1 if the rule was broken, 0 if it
/// held and 2 if the case could not run.
int run_case(const std::string& self, const std::string& name,
             const std::string& root)
{
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    char pattern[] = "/tmp/review-2-XXXXXX";
    const std::string folder = mkdtemp(pattern);
    int result = cannot_run;
    try
    {
        result = run_named_case(name, {self, root, folder, has_trouble});
    }
    catch (const std::exception& reason)
    {
        note("cannot_run", {{"reason", reason.what()}});
    }
    note("result", {{"exit", std::to_string(result)}});
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(folder);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 15 && std::string(argv[1]) == "worker")
    {
        return run_worker(argv);
    }
    if (argc != 4)
    {
        std::fprintf(stderr, "usage: stage CASE ROOT RECORD\n");
        return stage::cannot_run;
    }
    stage::record_path() = argv[3];
    std::filesystem::remove(argv[3]);
    // No case takes longer; what it started ends with it.
    std::thread(
        []
        {
            constexpr std::int64_t longest_ms = 116'000;
            stage::sleep_ms(longest_ms);
            stage::note("cannot_run", {{"reason", "too slow"}});
            std::_Exit(stage::cannot_run);
        })
        .detach();
    const int result =
        run_case(std::filesystem::absolute(argv[0]).string(), argv[1],
                 std::filesystem::absolute(argv[2]).string());
    // Threads of the stand-ins are still waiting for connections.
    std::_Exit(result);
}
