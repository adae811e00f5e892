// All hosts are killed just as a new desired state splits the route of running
// streams; the requesters take the streams up.
//
// take_up RECORD: exits with 1 if the share of streams that go on is under half
// of the share of new streams that begin.

#include "harness.hpp"
#include "store.hpp"

#include <atomic>

namespace
{

using namespace review;

constexpr std::size_t host_count = 3;
constexpr std::size_t worker_count = 5;
/// Those before this one belong to the service that the route led to at first.
constexpr std::size_t first_of_second_service = 3;
constexpr int streams = 18;
constexpr int before_change_ms = 3'000;
constexpr int contact_ms = 3'000;
constexpr int down_ms = 600;
constexpr int limit_ms = 17'000;

std::string service(const std::string& name)
{
    return R"({"name":")" + name +
           R"(","maxConns":630,"healthPath":"/health","engine":{"slots":128,
 "kvCapacity":400000,"weightsSize":200000,"adapterSlots":8,"loadsPerS":10,
 "models":[{"name":"m1","weightsSize":40000,"loadS":0.6,"warmS":0.1,
 "diskS":0.2,"adapters":0,"adapterMb":10}]}})";
}

std::string configuration(int version, const std::string& target)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"chat","host":"desk.example",
 "pathPrefix":"/chat/","kind":"stream",)" +
           target +
           R"(,"timeoutMs":17000,"targetLatencyMs":2500,"targetGapMs":400,
 "priority":0,"maxAttempts":2,"sessionAffinity":true,"resumable":true}],
 "services":[)" +
           service("models") + "," + service("others") +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
 "headerTimeoutMs":2000,"idleTimeoutMs":10000},
 "tenants":[{"name":"office","apiKeys":["key-of-office"],"ratePerS":0,
 "burst":0}]})";
}

int last_event(const std::string& body)
{
    const auto at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record_path = argc > 1 ? argv[1] : "record.txt";
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    // The kill alone.
    const bool has_split = trouble == nullptr || std::string(trouble) != "kill";
    ::signal(SIGPIPE, SIG_IGN);
    ::unlink(record_path.c_str());
    const record_file record(record_path);
    const temporary_folder folder;
    // Its threads go on until the process ends.
    store_server& store = *new store_server;
    store.put("config", "main", configuration(1, R"("service":"models")"));
    fleet hosts(folder.path(), host_count, store.at);
    std::vector<std::unique_ptr<child>> workers;
    for (std::size_t n = 0; n < worker_count; ++n)
    {
        const address at = free_address("127.0.4." + std::to_string(n + 2));
        workers.push_back(std::make_unique<child>(
            std::vector<std::string>{
                "target/review-3/worker", at.text(), store.at.text(),
                "i-" + std::to_string(n + 1),
                n < first_of_second_service ? "models" : "others", record_path,
                "m1"},
            std::map<std::string, std::string>{},
            folder.path() + "/worker.log"));
    }
    hosts.start_all();
    if (!hosts.are_all_ready(15'000))
    {
        std::cerr << "the hosts are not ready\n";
        hosts.print_logs();
        return could_not_run;
    }
    // The record of the hosts' first holder is written by then.
    sleep_ms(8'000);

    const auto send =
        [&](std::size_t host, const std::string& id, int stream, fields more)
    {
        more.insert(
            {{"Host", "desk.example"},
             {"Request-Id", id},
             {"Deadline-Ms", std::to_string(limit_ms)},
             {"Model", "m1"},
             {"Token-Count", "64,80"},
             {"Prompt-Prefix",
              "00000001:32,0000" + std::to_string(1000 + stream) + ":32"},
             {"Authorization", "Bearer key-of-office"}});
        const message it = call(hosts.hosts[host % host_count].front, "POST",
                                "/chat/x/work-12000", more,
                                "prompt " + std::to_string(stream), limit_ms);
        record.line("answer host=" + hosts.hosts[host % host_count].name +
                    " request=" + id +
                    " status=" + std::to_string(it.status()) +
                    " last-event=" + std::to_string(last_event(it.body)) +
                    (it.is_complete ? " complete" : " incomplete"));
        return it;
    };
    std::atomic<int> broken{0};
    std::atomic<int> gone_on{0};
    std::atomic<int> begun{0};
    std::atomic<std::int64_t> in_touch_at{0};
    std::vector<std::thread> requesters;
    for (int n = 0; n < streams; ++n)
    {
        requesters.emplace_back(
            [&, n]
            {
                const auto turn = static_cast<std::size_t>(n);
                const std::string first = "s" + std::to_string(n);
                const message part = send(turn, first, n, {});
                if (part.is_complete || part.status() != 200 ||
                    last_event(part.body) == 0)
                {
                    return;
                }
                while (in_touch_at == 0 || now_ms() < in_touch_at)
                {
                    sleep_ms(20);
                }
                ++broken;
                // Twice, as a requester that retries would.
                for (int tries = 0; tries < 2; ++tries)
                {
                    const message rest =
                        send(turn + 1, first + "-" + std::to_string(tries), n,
                             {{"Last-Event-Id",
                               std::to_string(last_event(part.body))},
                              {"Resumes", first}});
                    if (rest.status() == 200 &&
                        last_event(rest.body) > last_event(part.body))
                    {
                        ++gone_on;
                        break;
                    }
                    sleep_ms(500);
                }
            });
    }
    sleep_ms(before_change_ms);
    if (has_trouble)
    {
        record.line(has_split ? "split and kill" : "kill");
        if (has_split)
        {
            store.put(
                "config", "main",
                configuration(2, R"("split":[{"service":"models","weight":90},
 {"service":"others","weight":10}])"));
        }
        for (auto& it : hosts.hosts)
        {
            it.program->signal(SIGKILL);
        }
        sleep_ms(down_ms);
        hosts.start_all();
        if (!hosts.are_all_ready(10'000))
        {
            return could_not_run;
        }
        in_touch_at = now_ms() + contact_ms + 300;
        sleep_ms(in_touch_at - now_ms());
    }
    std::vector<std::thread> others;
    for (int n = 0; n < streams; ++n)
    {
        others.emplace_back(
            [&, n]
            {
                const message it = send(static_cast<std::size_t>(n),
                                        "n" + std::to_string(n), 100 + n, {});
                begun += it.status() == 200 && last_event(it.body) > 0 ? 1 : 0;
            });
    }
    for (auto* all : {&requesters, &others})
    {
        for (std::thread& it : *all)
        {
            it.join();
        }
    }
    std::ostringstream result;
    result << "taken-up=" << broken << " gone-on=" << gone_on
           << " new=" << streams << " begun=" << begun;
    record.line(result.str());
    std::cout << result.str() << "\n";
    if (!has_trouble)
    {
        return begun == streams && broken == 0 ? rule_held : could_not_run;
    }
    if (broken < 12)
    {
        return could_not_run;
    }
    return 2.0 * gone_on / broken < 1.0 * begun / streams ? rule_broken
                                                          : rule_held;
}
