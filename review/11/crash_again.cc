// A request that crashes the workers of the only service comes again and again.
//
// crash_again RECORD: exits with 1 if it reaches workers more than three times
// later than contactMs after it has crashed the third.

#include "harness.hpp"
#include "store.hpp"

namespace
{

using namespace review;

constexpr std::size_t host_count = 3;
constexpr std::size_t worker_count = 2;
/// "the worker is back after some seconds"
constexpr int restart_ms = 3'000;
constexpr int repeat_ms = 2'000;
constexpr int contact_ms = 3'000;
constexpr int allowed_retries = 3;
constexpr int length_ms = 45'000;

constexpr const char* configuration = R"({"version":1,
 "routes":[
  {"name":"post","host":"desk.example","pathPrefix":"/post/","kind":"unsafe",
   "service":"desk","timeoutMs":2000,"targetLatencyMs":150,"priority":0,
   "maxAttempts":1},
  {"name":"read","host":"desk.example","pathPrefix":"/read/","kind":"safe",
   "service":"desk","timeoutMs":2000,"targetLatencyMs":150,"priority":0,
   "maxAttempts":2}],
 "services":[{"name":"desk","maxConns":110,"healthPath":"/health"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":2000,
  "idleTimeoutMs":10000},
 "tenants":[{"name":"office","apiKeys":["key-of-office"],"ratePerS":0,
  "burst":0}]})";

struct worker_slot
{
    address at;
    std::unique_ptr<child> program;
    int starts = 0;
    std::int64_t ended_at = 0;
};

struct arrival
{
    std::int64_t at;
    bool is_crash;
};

/// What the workers wrote of the request with the body "crash".
std::vector<arrival> read_arrivals(const std::string& record)
{
    std::vector<arrival> found;
    std::ifstream from(record);
    std::string line;
    while (std::getline(from, line))
    {
        const bool is_run = line.find(" run ") != std::string::npos &&
                            line.find("body=crash") != std::string::npos;
        const bool is_crash = line.find(" crash ") != std::string::npos;
        if (is_run || is_crash)
        {
            found.push_back({std::stoll(line), is_crash});
        }
    }
    return found;
}

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

    std::vector<worker_slot> workers(worker_count);
    const auto start_worker = [&](std::size_t n)
    {
        worker_slot& it = workers[n];
        const std::string id =
            "i-" + std::to_string(n + 1) + "-" + std::to_string(++it.starts);
        it.ended_at = 0;
        record.line("start worker=" + id);
        it.program = std::make_unique<child>(
            std::vector<std::string>{"target/review-3/worker", it.at.text(),
                                     store.at.text(), id, "desk", record_path},
            std::map<std::string, std::string>{},
            folder.path() + "/worker.log");
    };
    for (std::size_t n = 0; n < workers.size(); ++n)
    {
        workers[n].at = free_address("127.0.4." + std::to_string(n + 2));
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

    int served = 0;
    int asked = 0;
    const auto send = [&](std::size_t host, const std::string& method,
                          const std::string& path, const std::string& body)
    {
        const std::string id = "r" + std::to_string(++asked);
        const message it = call(hosts.hosts[host].front, method, path,
                                {{"Host", "desk.example"},
                                 {"Request-Id", id},
                                 {"Deadline-Ms", "2000"},
                                 {"Authorization", "Bearer key-of-office"}},
                                body);
        record.line("answer host=" + hosts.hosts[host].name + " request=" + id +
                    " path=" + path + " status=" + std::to_string(it.status()));
        return it.status();
    };
    const std::int64_t began = now_ms();
    std::int64_t next_crash = began;
    std::size_t turn = 0;
    while (now_ms() < began + length_ms)
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
        if (now_ms() >= next_crash)
        {
            next_crash += repeat_ms;
            send(turn++ % host_count, "POST", "/post/slot",
                 has_trouble ? "crash" : "entry");
        }
        const int status = send(turn % host_count, "GET", "/read/slot", {});
        served += status == 200 ? 1 : 0;
        sleep_ms(200);
    }

    std::vector<std::int64_t> crashes;
    int retries = 0;
    for (const arrival& it : read_arrivals(record_path))
    {
        if (it.is_crash)
        {
            crashes.push_back(it.at);
        }
        else if (crashes.size() >= 3 && it.at > crashes[2] + contact_ms)
        {
            ++retries;
        }
    }
    std::ostringstream result;
    result << "crashes=" << crashes.size()
           << " retries-after-the-third=" << retries
           << " allowed=" << allowed_retries << " reads-served=" << served;
    record.line(result.str());
    std::cout << result.str() << "\n";
    if (!has_trouble && (served == 0 || !crashes.empty()))
    {
        return could_not_run;
    }
    return retries > allowed_retries ? rule_broken : rule_held;
}
