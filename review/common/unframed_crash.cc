// A worker crashes while it sends streams that have no length and end with
// their channel.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr int hosts_count = 2;
constexpr int workers_count = 6;
constexpr int slots = 64;
constexpr int streams = 24;
constexpr int events = 12;
constexpr int gap_ms = 300;
constexpr int crash_at_ms = 1'650;
constexpr int time_limit_ms = 10'000;

bool serve(const string& id, channel& to, const message& request)
{
    if (request.target() == "/v1/report")
    {
        return to.send(answer_text("200 OK", "{\"seq\":0,\"models\":[]}",
                                   "Content-Type: application/json\r\n"));
    }
    if (!is_for(id, request))
    {
        return to.send(misdirected(request));
    }
    string text = "HTTP/1.1 200 OK\r\n" + worker_fields(id, request) +
                  "Content-Type: text/event-stream\r\n"
                  "Connection: close\r\n\r\n";
    for (int n = 1; n <= events; ++n)
    {
        sleep_ms(gap_ms);
        text += "id: " + std::to_string(n) + "\ndata: piece\n\n";
        if (!to.send(text))
        {
            return false;
        }
        text.clear();
    }
    return false;
}

struct worker
{
    string id;
    address at;
    std::unique_ptr<process> program;
};

void start(worker& it, const string& self, const string& folder)
{
    it.program = std::make_unique<process>(
        std::vector<string>{self, "worker", it.id, it.at.ip,
                            std::to_string(it.at.port)},
        folder + "/" + it.id + ".log", std::vector<string>{"PATH=/usr/bin"});
    for (int left = 100; left > 0; --left)
    {
        if (status_of(it.at, "GET /v1/report HTTP/1.1\r\n\r\n") == 200)
        {
            return;
        }
        sleep_ms(50);
    }
    throw cannot_run("a worker did not start");
}

bool run(const string& self, const string& folder)
{
    // Its threads go on until the process ends.
    store& platform = *new store;
    std::vector<worker> workers(workers_count);
    for (int n = 0; n < workers_count; ++n)
    {
        worker& it = workers[static_cast<std::size_t>(n)];
        it.id = "i-" + std::to_string(n + 1);
        it.at = free_address("127.0.0.1");
        start(it, self, folder);
        platform.put("servers", it.id,
                     worker_entry("tally-models", it.at, slots));
    }
    platform.put("config", "main",
                 desired_state(
                     {route("lookup", "stream", "tally-models", time_limit_ms)},
                     {"tally-models"}, 0));
    hosts fleet(hosts_count, platform, folder);
    record("entry hosts are ready");
    std::atomic<int> short_streams{0};
    std::vector<std::thread> requesters;
    for (int n = 0; n < streams; ++n)
    {
        requesters.emplace_back(
            [&, n]
            {
                const string id = "stream-" + std::to_string(n);
                channel it(
                    fleet.front(static_cast<std::size_t>(n) % hosts_count));
                message answer;
                if (!it.send(request_text("POST", "/lookup/1", id,
                                          time_limit_ms,
                                          "Content-Length: 0\r\n")) ||
                    !read_head(it, answer, time_limit_ms))
                {
                    record(id + ": no answer");
                    return;
                }
                const bool is_whole = read_body(it, answer, time_limit_ms);
                int seen = 0;
                for (std::size_t at = 0;
                     (at = answer.body.find("data:", at)) != string::npos; ++at)
                {
                    ++seen;
                }
                record(id + " by " + answer.field("instance-id") + ": " +
                       answer.first_line + ", " + std::to_string(seen) +
                       " of " + std::to_string(events) + " events, ends " +
                       (is_whole ? "as complete" : "as broken off"));
                short_streams +=
                    answer.status() == 200 && is_whole && seen < events;
            });
        sleep_ms(5);
    }
    sleep_ms(crash_at_ms);
    if (has_trouble())
    {
        record("crash of " + workers[0].id);
        workers[0].program->end(SIGKILL);
    }
    for (std::thread& it : requesters)
    {
        it.join();
    }
    record("streams that end as complete before their last piece: " +
           std::to_string(short_streams));
    return short_streams > 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 5 && string(argv[1]) == "worker")
    {
        const string id = argv[2];
        server it({argv[3], std::atoi(argv[4])},
                  [id](channel& to, const message& request)
                  { return serve(id, to, request); });
        while (true)
        {
            sleep_ms(1'000);
        }
    }
    const string self = argv[0];
    return run_case(argc, argv,
                    [&](const string& folder) { return run(self, folder); });
}
