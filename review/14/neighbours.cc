// Lookups run beside a request that crashes the workers that run it.
//
// neighbours RECORD: exits with 1 if more of the lookups than the rule allows
// are ended with a 4xx of the system's own.

#include "harness.hpp"
#include "store.hpp"

#include <atomic>

namespace
{

using namespace review;

constexpr std::size_t host_count = 2;
constexpr std::size_t worker_count = 2;
/// "the worker is back after some seconds"
constexpr int restart_ms = 3'000;
constexpr int repeat_ms = 2'000;
constexpr int lookups = 16;
constexpr int limit_ms = 20'000;
constexpr int retries = 4;
/// Between a failure and the next try, or as long as Retry-After says.
constexpr int pause_ms = 500;
constexpr int length_ms = 40'000;

constexpr const char* configuration = R"({"version":1,
 "routes":[
  {"name":"post","host":"desk.example","pathPrefix":"/post/","kind":"unsafe",
   "service":"desk","timeoutMs":2000,"targetLatencyMs":150,"priority":0,
   "maxAttempts":1},
  {"name":"read","host":"desk.example","pathPrefix":"/read/","kind":"safe",
   "service":"desk","timeoutMs":20000,"targetLatencyMs":6000,"priority":0,
   "maxAttempts":2},
  {"name":"other","host":"desk.example","pathPrefix":"/other/","kind":"safe",
   "service":"other","timeoutMs":2000,"targetLatencyMs":150,"priority":0,
   "maxAttempts":2}],
 "services":[{"name":"desk","maxConns":110,"healthPath":"/health"},
  {"name":"other","maxConns":110,"healthPath":"/health"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":2000,
  "idleTimeoutMs":10000},
 "tenants":[{"name":"office","apiKeys":["key-of-office"],"ratePerS":0,
  "burst":0}]})";

struct worker_slot
{
    address at;
    std::string service;
    std::unique_ptr<child> program;
    int starts = 0;
    std::int64_t ended_at = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const std::string record_path = argc > 1 ? argv[1] : "record.txt";
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    ::unlink(record_path.c_str());
    const record_file record(record_path);
    const temporary_folder folder;
    // Its threads go on until the process ends.
    store_server& store = *new store_server;
    store.put("config", "main", configuration);
    fleet hosts(folder.path(), host_count, store.at);

    std::vector<worker_slot> workers(worker_count + 1);
    const auto start_worker = [&](std::size_t n)
    {
        worker_slot& it = workers[n];
        const std::string id =
            "i-" + std::to_string(n + 1) + "-" + std::to_string(++it.starts);
        it.ended_at = 0;
        record.line("start worker=" + id);
        it.program = std::make_unique<child>(
            std::vector<std::string>{"target/review-3/worker", it.at.text(),
                                     store.at.text(), id, it.service,
                                     record_path},
            std::map<std::string, std::string>{},
            folder.path() + "/worker.log");
    };
    for (std::size_t n = 0; n < workers.size(); ++n)
    {
        workers[n].at = free_address("127.0.4." + std::to_string(n + 2));
        workers[n].service = n < worker_count ? "desk" : "other";
        start_worker(n);
    }
    hosts.start_all();
    if (!hosts.are_all_ready(15'000))
    {
        std::cerr << "the hosts are not ready\n";
        hosts.print_logs();
        return could_not_run;
    }
    sleep_ms(2'000);

    std::atomic<int> next_id{0};
    const auto send = [&](std::size_t host, const std::string& method,
                          const std::string& path, const std::string& body,
                          int timeout_ms)
    {
        const std::string id = "r" + std::to_string(++next_id);
        const message it =
            call(hosts.hosts[host % host_count].front, method, path,
                 {{"Host", "desk.example"},
                  {"Request-Id", id},
                  {"Deadline-Ms", std::to_string(timeout_ms)},
                  {"Authorization", "Bearer key-of-office"}},
                 body, timeout_ms);
        record.line("answer host=" + hosts.hosts[host % host_count].name +
                    " request=" + id + " " + method + " " + path +
                    " status=" + std::to_string(it.status()));
        return it;
    };

    // Each requester looks up one thing again and again. It retries as the
    // pages say: a safe request after any failure but 400, 401, 404, 413, 431
    // or, here, any 4xx of the system.
    const std::int64_t end = now_ms() + length_ms;
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::atomic<int> denied{0};
    std::atomic<bool> is_over{false};
    std::vector<std::thread> requesters;
    for (int n = 0; n < lookups; ++n)
    {
        requesters.emplace_back(
            [&, n]
            {
                std::size_t turn = static_cast<std::size_t>(n);
                const std::string path =
                    "/read/report-" + std::to_string(n) + "/work-5000";
                while (now_ms() < end)
                {
                    const std::int64_t until = now_ms() + limit_ms;
                    for (int tries = 0; tries <= retries; ++tries)
                    {
                        const int left = static_cast<int>(until - now_ms());
                        if (left < 100)
                        {
                            break;
                        }
                        ++asked;
                        const message it = send(turn++, "GET", path, {}, left);
                        const int status = it.status();
                        served += status == 200 ? 1 : 0;
                        const bool is_denied = status >= 300 && status < 500 &&
                                               status != 408 && status != 421 &&
                                               status != 429;
                        denied += is_denied ? 1 : 0;
                        if (status == 200 || is_denied)
                        {
                            break;
                        }
                        sleep_ms(std::max<std::int64_t>(
                            pause_ms,
                            static_cast<std::int64_t>(
                                1000 * std::atof(it["retry-after"].c_str()))));
                    }
                    sleep_ms(1'000);
                }
            });
    }
    std::thread keeper(
        [&]
        {
            while (!is_over)
            {
                for (std::size_t n = 0; n < workers.size(); ++n)
                {
                    worker_slot& it = workers[n];
                    if (it.ended_at == 0 && it.program->has_ended())
                    {
                        it.ended_at = now_ms();
                    }
                    if (it.ended_at > 0 && now_ms() >= it.ended_at + restart_ms)
                    {
                        start_worker(n);
                    }
                }
                sleep_ms(20);
            }
        });
    sleep_ms(1'000);
    std::int64_t next = now_ms();
    for (std::size_t turn = 0; now_ms() < end; ++turn)
    {
        send(turn, "POST", "/post/slot", has_trouble ? "crash" : "entry",
             2'000);
        send(turn, "GET", "/other/state", {}, 2'000);
        next += repeat_ms;
        sleep_ms(next - now_ms());
    }
    for (std::thread& it : requesters)
    {
        it.join();
    }
    is_over = true;
    keeper.join();

    const double allowed = 5 + asked / 500.0;
    std::ostringstream result;
    result << "lookups=" << asked << " served=" << served
           << " denied=" << denied << " allowed=" << allowed;
    record.line(result.str());
    std::cout << result.str() << "\n";
    if (!has_trouble && served == 0)
    {
        return could_not_run;
    }
    return denied > allowed ? rule_broken : rule_held;
}
