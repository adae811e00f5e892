// A request that crashes the workers that run it comes again while the hosts
// are restarted in turn.
//
// rolled_hosts RECORD: exits with 1 if it reaches workers more than three times
// later than contactMs after it has crashed the third.

#include "harness.hpp"
#include "store.hpp"

#include <atomic>

namespace
{

using namespace review;

constexpr std::size_t host_count = 3;
constexpr std::size_t worker_count = 2;
/// "the worker is back after some seconds"
constexpr int restart_ms = 3'000;
constexpr int repeat_ms = 4'000;
constexpr int contact_ms = 3'000;
constexpr int allowed_retries = 3;
/// Between the restarts of two hosts.
constexpr int roll_gap_ms = 2'000;
constexpr int rolls = 2;
constexpr int requests_per_roll = 2;
constexpr int requests_at_end = 4;
constexpr int grace_ms = 8'000;

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

    int next_id = 0;
    int served = 0;
    const auto send = [&](std::size_t host, const std::string& method,
                          const std::string& path, const std::string& body)
    {
        const std::string id = "r" + std::to_string(++next_id);
        const message it =
            call(hosts.hosts[host % host_count].front, method, path,
                 {{"Host", "desk.example"},
                  {"Request-Id", id},
                  {"Deadline-Ms", "2000"},
                  {"Authorization", "Bearer key-of-office"}},
                 body);
        served += it.status() == 200 ? 1 : 0;
        record.line("answer host=" + hosts.hosts[host % host_count].name +
                    " request=" + id + " " + method + " " + path +
                    " status=" + std::to_string(it.status()));
    };
    std::atomic<bool> is_over{false};
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
    std::size_t turn = 0;
    const auto ask = [&](int count)
    {
        for (int n = 0; n < count; ++n)
        {
            const std::int64_t next = now_ms() + repeat_ms;
            send(turn, "POST", "/post/slot", "crash");
            send(turn, "GET", "/other/state", {});
            ++turn;
            sleep_ms(next - now_ms());
        }
    };
    for (int n = 0; n < rolls; ++n)
    {
        ask(requests_per_roll);
        for (std::size_t host = 0; has_trouble && host < host_count; ++host)
        {
            record.line("restart host=" + hosts.hosts[host].name);
            const std::int64_t next = now_ms() + roll_gap_ms;
            hosts.hosts[host].program->signal(SIGTERM);
            if (!hosts.hosts[host].program->wait(grace_ms))
            {
                hosts.hosts[host].program->kill();
            }
            hosts.start(host);
            eventually(5'000, [&] { return hosts.is_ready(host); });
            sleep_ms(next - now_ms());
        }
        // From here on all hosts are in touch.
        sleep_ms(contact_ms + 500);
    }
    ask(requests_at_end);
    is_over = true;
    keeper.join();

    std::vector<std::int64_t> crashes;
    int retries = 0;
    std::ifstream from(record_path);
    std::string line;
    while (std::getline(from, line))
    {
        if (line.find(" crash ") != std::string::npos)
        {
            crashes.push_back(std::stoll(line));
        }
        else if (line.find("body=crash") != std::string::npos &&
                 crashes.size() >= 3 &&
                 std::stoll(line) > crashes[2] + contact_ms)
        {
            ++retries;
        }
    }
    std::ostringstream result;
    result << "crashes=" << crashes.size()
           << " retries-after-the-third=" << retries
           << " allowed=" << allowed_retries << " served=" << served;
    record.line(result.str());
    std::cout << result.str() << "\n";
    if (served == 0)
    {
        return could_not_run;
    }
    return retries > allowed_retries ? rule_broken : rule_held;
}
