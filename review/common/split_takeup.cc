// A new desired state splits the route of running streams; then the process of
// one entry host is killed, and the requesters take their streams up.
#include "lab.hh"

using namespace lab;

namespace
{

constexpr int hosts_count = 3;
constexpr int workers_of_first = 3;
constexpr int workers_of_second = 2;
constexpr int slots = 64;
constexpr int streams = 18;
constexpr int new_streams = 18;
constexpr int events = 30;
constexpr int gap_ms = 300;
constexpr int time_limit_ms = 17'000;
constexpr int split_at_ms = 1'500;
constexpr int config_apply_ms = 2'000;
constexpr int tries = 2;

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
                  "Transfer-Encoding: chunked\r\n\r\n";
    for (int n = std::atoi(request.field("last-event-id").c_str()) + 1;
         n <= events; ++n)
    {
        sleep_ms(gap_ms);
        char event[64];
        std::snprintf(event, sizeof event, "id: %02d\ndata: piece\n\n", n);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", string(event).size());
        text += string(size) + event + "\r\n";
        if (!to.send(text))
        {
            return false;
        }
        text.clear();
    }
    return to.send("0\r\n\r\n");
}

/// TROUBLE=kill leaves out the new desired state only.
bool has_split()
{
    const char* it = std::getenv("TROUBLE");
    return has_trouble() && (it == nullptr || string(it) != "kill");
}

string stream_request(const string& id, const string& more = {})
{
    return request_text("POST", "/digest/1", id, time_limit_ms,
                        more + "Content-Length: 0\r\n");
}

/// The id of the last whole event in a body; 0 if there is none.
int last_event(const string& body)
{
    const auto end = body.rfind("\n\n");
    const auto at =
        end == string::npos ? string::npos : body.rfind("id: ", end);
    return at == string::npos ? 0 : std::atoi(&body[at + 4]);
}

struct totals
{
    std::atomic<int> whole{0};
    std::atomic<int> taken_up{0};
    std::atomic<int> gone_on{0};
    std::atomic<int> new_sent{0};
    std::atomic<int> new_begun{0};
};

void run_stream(const hosts& fleet, int n, totals& sums)
{
    const string first = "stream-" + std::to_string(n);
    message answer;
    int last = 0;
    {
        channel it(fleet.front(0));
        if (!it.send(stream_request(first)) ||
            !read_head(it, answer, time_limit_ms) || answer.status() != 200)
        {
            record(first + " at front-1: does not begin");
            return;
        }
        if (read_body(it, answer, time_limit_ms))
        {
            ++sums.whole;
            record(first + " at front-1: whole");
            return;
        }
        last = last_event(answer.body);
    }
    if (last == 0)
    {
        record(first + " at front-1: broken off before its first event");
        return;
    }
    ++sums.taken_up;
    for (int k = 1; k <= tries; ++k)
    {
        const std::size_t host = 1 + static_cast<std::size_t>(n + k) % 2;
        const string id = first + "-again-" + std::to_string(k);
        channel it(fleet.front(host));
        const bool is_answered =
            it.send(
                stream_request(id, "Last-Event-Id: " + std::to_string(last) +
                                       "\r\nResumes: " + first + "\r\n")) &&
            read_head(it, answer, time_limit_ms);
        const bool goes_on = is_answered && answer.status() == 200 &&
                             read_body(it, answer, time_limit_ms) &&
                             last_event(answer.body) == events;
        record(first + " broken off after event " + std::to_string(last) +
               "; " + id + " at front-" + std::to_string(host + 1) + ": " +
               (is_answered ? answer.first_line : "no answer") +
               (goes_on ? ", goes on by " + answer.field("instance-id") : ""));
        if (goes_on)
        {
            ++sums.gone_on;
            return;
        }
        sleep_ms(300);
    }
}

bool run(const string& folder)
{
    // Its threads go on until the process ends.
    store& platform = *new store;
    std::vector<std::unique_ptr<server>> workers;
    const auto add = [&](const string& service, const string& id)
    {
        workers.push_back(std::make_unique<server>(
            address{"127.0.0.1", 0}, [id](channel& to, const message& it)
            { return serve(id, to, it); }));
        platform.put("servers", id,
                     worker_entry(service, workers.back()->at(), slots));
    };
    for (int n = 1; n <= workers_of_first; ++n)
    {
        add("tally-models", "i-first-" + std::to_string(n));
    }
    for (int n = 1; n <= workers_of_second; ++n)
    {
        add("tally-more", "i-second-" + std::to_string(n));
    }
    json::object to_first =
        route("digest", "stream", "tally-models", time_limit_ms);
    to_first["resumable"] = true;
    to_first["maxAttempts"] = 2;
    json::object to_both = to_first;
    to_both.erase("service");
    to_both["split"] = {{{"service", "tally-models"}, {"weight", 90}},
                        {{"service", "tally-more"}, {"weight", 10}}};
    const std::vector<string> services{"tally-models", "tally-more"};
    platform.put("config", "main", desired_state({to_first}, services, 0, 3));
    hosts fleet(hosts_count, platform, folder);
    record("entry hosts are ready");
    // All know one another, and the versions that serve.
    sleep_ms(4'000);
    totals sums;
    std::vector<std::thread> requesters;
    for (int n = 0; n < streams; ++n)
    {
        requesters.emplace_back([&, n] { run_stream(fleet, n, sums); });
    }
    sleep_ms(split_at_ms);
    if (has_split())
    {
        record("the route is split over both services");
        platform.put("config", "main",
                     desired_state({to_both}, services, 0, 5));
    }
    sleep_ms(config_apply_ms + 500);
    if (has_trouble())
    {
        record("the process of front-1 is killed");
        fleet.program(0).end(SIGKILL);
    }
    for (int n = 0; n < new_streams; ++n)
    {
        requesters.emplace_back(
            [&, n]
            {
                const std::size_t host = 1 + static_cast<std::size_t>(n) % 2;
                channel it(fleet.front(host));
                message answer;
                ++sums.new_sent;
                if (it.send(stream_request("new-" + std::to_string(n))) &&
                    read_head(it, answer, time_limit_ms) &&
                    answer.status() == 200 &&
                    read_body(it, answer, time_limit_ms))
                {
                    ++sums.new_begun;
                }
            });
    }
    if (has_trouble())
    {
        sleep_ms(500);
        fleet.start(0);
    }
    for (std::thread& it : requesters)
    {
        it.join();
    }
    record("whole at once " + std::to_string(sums.whole) + ", taken up " +
           std::to_string(sums.taken_up) + ", gone on " +
           std::to_string(sums.gone_on) + "; new streams " +
           std::to_string(sums.new_sent) + ", begun " +
           std::to_string(sums.new_begun));
    constexpr int least_taken_up = 12;
    const double gone_on =
        static_cast<double>(sums.gone_on) / std::max(1, sums.taken_up.load());
    const double begun =
        static_cast<double>(sums.new_begun) / std::max(1, sums.new_sent.load());
    return sums.taken_up >= least_taken_up && gone_on < begun / 2;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
